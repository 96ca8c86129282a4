package cloud

import (
	"net/http"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"chestnutrudder.example/standin/faultproxy"
)

// startProxy puts a fault proxy before a host that asks for one and makes its address the host's.
func (h *host) startProxy() error {
	if !h.needsProxy {
		return nil
	}
	proxy, err := faultproxy.New("127.0.0.1:0", h.address)
	if err != nil {
		return errors.Wrap(err, "start proxy of a host")
	}
	h.proxy = proxy
	h.Address = "http://" + proxy.Address()
	return nil
}

// handleConnectionFault silences or cuts the open connections of a host; new ones work.
func (c *Cloud) handleConnectionFault(w http.ResponseWriter, r *http.Request) {
	h := c.findHost(w, r)
	switch {
	case h == nil:
	case h.proxy == nil:
		w.WriteHeader(http.StatusNotFound)
	case mux.Vars(r)["fault"] == "silence":
		h.proxy.Silence()
	default:
		h.proxy.Cut()
	}
}
