// Package peer carries the messages between nodes over connect-go and HTTP/2. Entry nodes, dispatchers and membership
// use it; each part declares the interface that it serves.
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
	// A connection that carries nothing for pingAfter is pinged and dropped after pingTimeout, so that a connection
	// that went silent is not used again.
	pingAfter   = time.Second
	pingTimeout = time.Second
	// The server pings later than heartbeats come, so that it does not ping every connection every second.
	serverPingAfter = 3 * time.Second
	// compressMinBytes is the size in bytes from which messages are compressed. Heartbeats and tokens are smaller; compressing
	// them costs more than it saves.
	compressMinBytes = 1 << 10
)

// ErrNotSent means that no connection to the node could be made: the message was not sent.
var ErrNotSent = errors.New("node could not be reached")

// Membership answers heartbeats.
type Membership interface {
	HandleExchange(request *peerpb.ExchangeRequest) *peerpb.ExchangeResponse
}

// Dispatcher runs requests on the backend servers of this node.
type Dispatcher interface {
	// Run sends events until the run ends, breaks or is refused.
	Run(ctx context.Context, request *peerpb.RunRequest, send func(*peerpb.RunEvent) error) error
	// Attach sends the events of a known run from an offset.
	Attach(ctx context.Context, request *peerpb.AttachRequest, send func(*peerpb.RunEvent) error) error
	Cancel(ctx context.Context, request *peerpb.CancelRequest)
	Call(ctx context.Context, request *peerpb.CallRequest) *peerpb.CallResponse
}

// Claims grants and settles claims for non-idempotent calls.
type Claims interface {
	Claim(ctx context.Context, request *peerpb.ClaimRequest) *peerpb.ClaimResponse
	Settle(ctx context.Context, request *peerpb.SettleRequest) *peerpb.SettleResponse
}

// Registry knows where runs are.
type Registry interface {
	Register(request *peerpb.RegisterRequest) *peerpb.RegisterResponse
	Lookup(request *peerpb.LookupRequest) *peerpb.LookupResponse
}

// Snapshots hands out the configuration in force.
type Snapshots interface {
	HandleSnapshot(request *peerpb.SnapshotRequest) *peerpb.SnapshotResponse
}

// Server answers the messages of other nodes. A nil part answers Unimplemented.
type Server struct {
	peerpbconnect.UnimplementedPeerServiceHandler
	Membership Membership
	Dispatcher Dispatcher
	Claims     Claims
	Registry   Registry
	Snapshots  Snapshots
}

// NewHTTPServer returns an HTTP/2 server for the messages of other nodes.
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

// Exchange implements the service.
func (s *Server) Exchange(_ context.Context, r *connect.Request[peerpb.ExchangeRequest]) (*connect.Response[peerpb.ExchangeResponse], error) {
	return connect.NewResponse(s.Membership.HandleExchange(r.Msg)), nil
}

// Run implements the service.
func (s *Server) Run(ctx context.Context, r *connect.Request[peerpb.RunRequest], stream *connect.ServerStream[peerpb.RunEvent]) error {
	return s.Dispatcher.Run(ctx, r.Msg, stream.Send)
}

// Attach implements the service.
func (s *Server) Attach(ctx context.Context, r *connect.Request[peerpb.AttachRequest], stream *connect.ServerStream[peerpb.RunEvent]) error {
	return s.Dispatcher.Attach(ctx, r.Msg, stream.Send)
}

// Cancel implements the service.
func (s *Server) Cancel(ctx context.Context, r *connect.Request[peerpb.CancelRequest]) (*connect.Response[peerpb.CancelResponse], error) {
	s.Dispatcher.Cancel(ctx, r.Msg)
	return connect.NewResponse(&peerpb.CancelResponse{}), nil
}

// Call implements the service.
func (s *Server) Call(ctx context.Context, r *connect.Request[peerpb.CallRequest]) (*connect.Response[peerpb.CallResponse], error) {
	return connect.NewResponse(s.Dispatcher.Call(ctx, r.Msg)), nil
}

// Claim implements the service.
func (s *Server) Claim(ctx context.Context, r *connect.Request[peerpb.ClaimRequest]) (*connect.Response[peerpb.ClaimResponse], error) {
	return connect.NewResponse(s.Claims.Claim(ctx, r.Msg)), nil
}

// Settle implements the service.
func (s *Server) Settle(ctx context.Context, r *connect.Request[peerpb.SettleRequest]) (*connect.Response[peerpb.SettleResponse], error) {
	return connect.NewResponse(s.Claims.Settle(ctx, r.Msg)), nil
}

// Register implements the service.
func (s *Server) Register(_ context.Context, r *connect.Request[peerpb.RegisterRequest]) (*connect.Response[peerpb.RegisterResponse], error) {
	return connect.NewResponse(s.Registry.Register(r.Msg)), nil
}

// Lookup implements the service.
func (s *Server) Lookup(_ context.Context, r *connect.Request[peerpb.LookupRequest]) (*connect.Response[peerpb.LookupResponse], error) {
	return connect.NewResponse(s.Registry.Lookup(r.Msg)), nil
}

// Snapshot implements the service.
func (s *Server) Snapshot(_ context.Context, r *connect.Request[peerpb.SnapshotRequest]) (*connect.Response[peerpb.SnapshotResponse], error) {
	return connect.NewResponse(s.Snapshots.HandleSnapshot(r.Msg)), nil
}
