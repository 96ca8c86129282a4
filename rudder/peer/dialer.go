package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/peer/peerpb/peerpbconnect"
)

const dialTimeout = time.Second

// Dialer keeps one client with its own connection for each address.
type Dialer struct {
	wrap      func(net.Conn) net.Conn // nil leaves connections as they are
	pingAfter time.Duration           // silence after which a connection is pinged
	idle      time.Duration           // 0 keeps idle connections

	mu    sync.Mutex
	links map[string]link
}

type link struct {
	client    peerpbconnect.PeerServiceClient
	transport *http.Transport
}

// NewDialer returns a dialer whose connections are HTTP/2 without TLS.
func NewDialer() *Dialer { return &Dialer{pingAfter: pingAfter, links: map[string]link{}} }

// Client returns the client for an address in the form IP:port.
func (d *Dialer) Client(address string) peerpbconnect.PeerServiceClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, found := d.links[address]
	if !found {
		known = d.newLink(address)
		d.links[address] = known
	}
	return known.client
}

// Renew replaces the client of an address if it is still the failed one, and returns the client to use. Streams on the
// old connection go on, so that one silent stream does not break others.
func (d *Dialer) Renew(address string, failed peerpbconnect.PeerServiceClient) peerpbconnect.PeerServiceClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, found := d.links[address]
	if found && known.client != failed {
		return known.client
	}
	if found {
		known.transport.CloseIdleConnections()
	}
	known = d.newLink(address)
	d.links[address] = known
	return known.client
}

func (d *Dialer) newLink(address string) link {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		Protocols: protocols,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, errors.Wrap(ErrNotSent, err.Error())
			}
			if d.wrap != nil {
				connection = d.wrap(connection)
			}
			return connection, nil
		},
		HTTP2:           &http.HTTP2Config{SendPingTimeout: d.pingAfter, PingTimeout: pingTimeout},
		IdleConnTimeout: d.idle,
	}
	return link{client: peerpbconnect.NewPeerServiceClient(&http.Client{Transport: transport}, "http://"+address), transport: transport}
}

// Close drops all idle connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.links {
		l.transport.CloseIdleConnections()
	}
}
