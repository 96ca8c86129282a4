package cloud

import (
	"net/http"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"chestnutrudder.example/standin/faultproxy"
)

// startProxy starts a fault proxy in front of the backend server and makes the proxy's address the public address of the
// host. It does nothing if the host needs no proxy.
func (h *host) startProxy() error {
	if !h.needsProxy {
		return nil
	}
	proxy, err := faultproxy.New("127.0.0.1:0", h.address)
	if err != nil {
		return errors.Wrap(err, "start fault proxy of backend server")
	}
	h.proxy = proxy
	h.Address = "http://" + proxy.Address()
	return nil
}

// handleConnectionFault silences or closes the open connections of a host. New connections are not affected. It responds
// with 404 if the host has no proxy.
func (c *Cloud) handleConnectionFault(w http.ResponseWriter, r *http.Request) {
	h := c.findHost(w, r)
	switch {
	case h == nil:
	case h.proxy == nil:
		w.WriteHeader(http.StatusNotFound)
	case mux.Vars(r)["fault"] == "silence":
		h.proxy.SilenceConnections()
	default:
		h.proxy.CloseConnections()
	}
}
