// Package peer is the RPC between nodes, over connect-go and HTTP/2 without TLS. Server handles the requests of other nodes
// and passes them to the components of this node through the interfaces declared here. Dialer has the clients with which
// entry nodes, dispatchers, membership and the other components send requests to other nodes.
package peer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/peer/peerpb/peerpbconnect"
)

const (
	// A client pings a connection on which nothing arrives for pingAfter, and closes it if no reply comes within
	// pingTimeout, so that no request is sent on a dead connection.
	pingAfter   = time.Second
	pingTimeout = time.Second
	// serverPingAfter is longer than the interval between heartbeats, so that the server does not ping every connection
	// every second.
	serverPingAfter = 3 * time.Second
	// compressMinBytes is the size from which messages are compressed. Heartbeats and tokens are smaller; compressing them
	// costs more than it saves.
	compressMinBytes = 1 << 10
)

// ErrNotSent means that no connection to the node could be made, so that the request was not sent.
var ErrNotSent = errors.New("node could not be reached")

// Membership handles the heartbeats of other nodes.
type Membership interface {
	HandleExchange(request *peerpb.ExchangeRequest) *peerpb.ExchangeResponse
}

// Dispatcher runs requests on the backend servers of this node.
type Dispatcher interface {
	// Run sends the events of a new or resumed run until it ends, breaks, is refused or moves to another dispatcher.
	Run(ctx context.Context, request *peerpb.RunRequest, send func(*peerpb.RunEvent) error) error
	// Attach sends the events of a run of this node, with the tokens from an offset.
	Attach(ctx context.Context, request *peerpb.AttachRequest, send func(*peerpb.RunEvent) error) error
	// Cancel stops a run of this node.
	Cancel(ctx context.Context, request *peerpb.CancelRequest)
	// Call sends one call to a plain service and returns its outcome.
	Call(ctx context.Context, request *peerpb.CallRequest) *peerpb.CallResponse
}

// Claims grants claims, which give the right to send a non-idempotent call, and records how the calls ended.
type Claims interface {
	Claim(ctx context.Context, request *peerpb.ClaimRequest) *peerpb.ClaimResponse
	Settle(ctx context.Context, request *peerpb.SettleRequest) *peerpb.SettleResponse
}

// Registry stores where runs are: the entry node, the dispatcher and the host of each.
type Registry interface {
	Register(request *peerpb.RegisterRequest) *peerpb.RegisterResponse
	Lookup(request *peerpb.LookupRequest) *peerpb.LookupResponse
}

// Snapshots serves the configuration in force to other nodes.
type Snapshots interface {
	HandleSnapshot(request *peerpb.SnapshotRequest) *peerpb.SnapshotResponse
}

// Server handles the requests of other nodes. The handler of a request panics if the field that it needs is nil.
type Server struct {
	peerpbconnect.UnimplementedPeerServiceHandler
	Membership Membership
	Dispatcher Dispatcher
	Claims     Claims
	Registry   Registry
	Snapshots  Snapshots
}

// NewHTTPServer returns a server that handles the requests of other nodes over HTTP/1.1 and HTTP/2 without TLS.
func NewHTTPServer(s *Server) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(peerpbconnect.NewPeerServiceHandler(s, connect.WithCompressMinBytes(compressMinBytes)))
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           mux,
		Protocols:         protocols,
		ReadHeaderTimeout: 5 * time.Second,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: serverPingAfter, PingTimeout: pingTimeout, MaxConcurrentStreams: 10000},
	}
}

// Exchange implements peerpbconnect.PeerServiceHandler.
func (s *Server) Exchange(_ context.Context, r *connect.Request[peerpb.ExchangeRequest]) (*connect.Response[peerpb.ExchangeResponse], error) {
	return connect.NewResponse(s.Membership.HandleExchange(r.Msg)), nil
}

// Run implements peerpbconnect.PeerServiceHandler.
func (s *Server) Run(ctx context.Context, r *connect.Request[peerpb.RunRequest], stream *connect.ServerStream[peerpb.RunEvent]) error {
	return s.Dispatcher.Run(ctx, r.Msg, stream.Send)
}

// Attach implements peerpbconnect.PeerServiceHandler.
func (s *Server) Attach(ctx context.Context, r *connect.Request[peerpb.AttachRequest], stream *connect.ServerStream[peerpb.RunEvent]) error {
	return s.Dispatcher.Attach(ctx, r.Msg, stream.Send)
}

// Cancel implements peerpbconnect.PeerServiceHandler.
func (s *Server) Cancel(ctx context.Context, r *connect.Request[peerpb.CancelRequest]) (*connect.Response[peerpb.CancelResponse], error) {
	s.Dispatcher.Cancel(ctx, r.Msg)
	return connect.NewResponse(&peerpb.CancelResponse{}), nil
}

// Call implements peerpbconnect.PeerServiceHandler.
func (s *Server) Call(ctx context.Context, r *connect.Request[peerpb.CallRequest]) (*connect.Response[peerpb.CallResponse], error) {
	return connect.NewResponse(s.Dispatcher.Call(ctx, r.Msg)), nil
}

// Claim implements peerpbconnect.PeerServiceHandler.
func (s *Server) Claim(ctx context.Context, r *connect.Request[peerpb.ClaimRequest]) (*connect.Response[peerpb.ClaimResponse], error) {
	return connect.NewResponse(s.Claims.Claim(ctx, r.Msg)), nil
}

// Settle implements peerpbconnect.PeerServiceHandler.
func (s *Server) Settle(ctx context.Context, r *connect.Request[peerpb.SettleRequest]) (*connect.Response[peerpb.SettleResponse], error) {
	return connect.NewResponse(s.Claims.Settle(ctx, r.Msg)), nil
}

// Register implements peerpbconnect.PeerServiceHandler.
func (s *Server) Register(_ context.Context, r *connect.Request[peerpb.RegisterRequest]) (*connect.Response[peerpb.RegisterResponse], error) {
	return connect.NewResponse(s.Registry.Register(r.Msg)), nil
}

// Lookup implements peerpbconnect.PeerServiceHandler.
func (s *Server) Lookup(_ context.Context, r *connect.Request[peerpb.LookupRequest]) (*connect.Response[peerpb.LookupResponse], error) {
	return connect.NewResponse(s.Registry.Lookup(r.Msg)), nil
}

// Snapshot implements peerpbconnect.PeerServiceHandler.
func (s *Server) Snapshot(_ context.Context, r *connect.Request[peerpb.SnapshotRequest]) (*connect.Response[peerpb.SnapshotResponse], error) {
	return connect.NewResponse(s.Snapshots.HandleSnapshot(r.Msg)), nil
}
