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

// Dialer has one client for each address, each with its own connections. It is safe for concurrent use.
type Dialer struct {
	wrapConn    func(net.Conn) net.Conn // nil: connections are not wrapped
	pingAfter   time.Duration           // time without received data after which a connection is pinged
	idleTimeout time.Duration           // 0: idle connections are not closed

	mu      sync.Mutex
	clients map[string]pooledClient
}

// pooledClient is a client with its transport, which closes the connections.
type pooledClient struct {
	client    peerpbconnect.PeerServiceClient
	transport *http.Transport
}

// NewDialer returns a dialer whose connections are HTTP/2 without TLS.
func NewDialer() *Dialer { return &Dialer{pingAfter: pingAfter, clients: map[string]pooledClient{}} }

// Client returns the client for an address in the form IP:port. Its requests fail with an error that wraps ErrNotSent if
// no connection can be made.
func (d *Dialer) Client(address string) peerpbconnect.PeerServiceClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	pooled, found := d.clients[address]
	if !found {
		pooled = d.newClient(address)
		d.clients[address] = pooled
	}
	return pooled.client
}

// Redial returns a client for an address that does not use the connections of a failed client. It creates one unless another
// caller has replaced the failed client already. Streams on the old connection continue, so that one idle stream does not
// break the others.
func (d *Dialer) Redial(address string, failed peerpbconnect.PeerServiceClient) peerpbconnect.PeerServiceClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	pooled, found := d.clients[address]
	if found && pooled.client != failed {
		return pooled.client
	}
	if found {
		pooled.transport.CloseIdleConnections()
	}
	pooled = d.newClient(address)
	d.clients[address] = pooled
	return pooled.client
}

// newClient returns a client with a transport of its own. The caller stores it.
func (d *Dialer) newClient(address string) pooledClient {
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
			if d.wrapConn != nil {
				connection = d.wrapConn(connection)
			}
			return connection, nil
		},
		HTTP2:           &http.HTTP2Config{SendPingTimeout: d.pingAfter, PingTimeout: pingTimeout},
		IdleConnTimeout: d.idleTimeout,
	}
	return pooledClient{client: peerpbconnect.NewPeerServiceClient(&http.Client{Transport: transport}, "http://"+address), transport: transport}
}

// Close closes the idle connections of all clients; connections with open requests stay open.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, pooled := range d.clients {
		pooled.transport.CloseIdleConnections()
	}
}
