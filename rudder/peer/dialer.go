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
	wrapConn    func(net.Conn) net.Conn // nil leaves connections as they are
	pingAfter   time.Duration           // silence after which a connection is pinged
	idleTimeout time.Duration           // 0 keeps idle connections

	mu      sync.Mutex
	clients map[string]pooledClient
}

type pooledClient struct {
	client    peerpbconnect.PeerServiceClient
	transport *http.Transport
}

// NewDialer returns a dialer whose connections are HTTP/2 without TLS.
func NewDialer() *Dialer { return &Dialer{pingAfter: pingAfter, clients: map[string]pooledClient{}} }

// Client returns the client for an address in the form IP:port.
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

// Redial replaces the client of an address if it is still the failed one, and returns the client to use. Streams on the
// old connection go on, so that one silent stream does not break others.
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

// Close drops all idle connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, pooled := range d.clients {
		pooled.transport.CloseIdleConnections()
	}
}
