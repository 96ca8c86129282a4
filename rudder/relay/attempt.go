package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/upstream"
)

const (
	// maxBufferedBytes is the size up to which a plain response is read completely before its head is sent to the caller, so
	// that after a broken response the request can be sent again or answered with an error.
	maxBufferedBytes = 64 << 10
	// maxIdleTimeRepeatable and maxIdleTimeNonRepeatable bound the idle time of a pooled connection that is used for a
	// request that may be repeated and for one that may not: a server may reset a connection that it has just closed.
	maxIdleTimeRepeatable    = 8 * time.Second
	maxIdleTimeNonRepeatable = 2 * time.Second
	// asyncBodyBytes is the body size from which on the request is sent in a goroutine while the response is read, since
	// the response may arrive before the end of the body.
	asyncBodyBytes = 32 << 10
	// defaultMaxResponseBytes bounds the body of a response that is not an event stream, which a server in trouble may go on
	// sending without end.
	defaultMaxResponseBytes = 64 << 20
	// streamChunkBytes bounds one read from an event stream.
	streamChunkBytes = 8 << 10
)

// attempt is the sending of a request to one backend server.
type attempt struct {
	server    *Server
	call      *call
	placement *backend.Placement
	forwarder *forwarder
	conn      *upstream.Conn
	body      *trackedBody // of the response; nil if it has none
	cancel    context.CancelFunc

	sentAt           boottime.Instant // when the sending began
	headAt           boottime.Instant // when the head of a response that is not a refusal came; 0 if none came
	firstEventAt     boottime.Instant // of the stream; 0 if none came
	progressAt       boottime.Instant // when the server last sent a head or a whole event; at first sentAt
	isCancelled      bool             // WatchWaitingRequests gave the attempt up when its response arrived; its connection is being reset
	isServerReplaced bool             // the end of the response showed that the server's process has ended
	isSilent         bool             // the server was silent for too long, but the request could not go elsewhere
	hasReadLate      bool             // bytes were read after the present read timeout had expired
}

// bufferedResponse is a response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// run sends the request, forwards as much of the response as possible, and releases or closes the connection.
func (a *attempt) run(parent context.Context) attemptResult {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	a.cancel = cancel
	conn, err := a.placement.Server.Pool.Get(ctx, a.call.id, a.maxIdleTime())
	if err != nil {
		if parent.Err() == nil {
			a.server.Paths.SuspectConnect(a.call.service, err)
		}
		return attemptResult{isKnownNotRun: true, isUnconnected: true, backendResult: a.resultUnlessCancelled(parent, backend.ResultConnectionFailure), reason: err.Error()}
	}
	a.conn = conn
	if !conn.Reused {
		a.server.Paths.RecordConnection(a.call.service)
	}
	conn.OnReadTimeout(a.onSilence)
	// The end of the connection makes the server cancel the request.
	stop := context.AfterFunc(ctx, conn.Abort)
	isReleased := false
	defer func() {
		if !isReleased {
			conn.Abort()
		}
	}()
	if reason := a.placement.SendProblem(); reason != "" {
		return attemptResult{isKnownNotRun: true, isWithdrawn: true, backendResult: backend.ResultInconclusive, reason: reason}
	}
	a.sentAt = boottime.Now()
	a.progressAt = a.sentAt // LeaveSilentServers reads it once the attempt awaits its response
	a.addAwaitingResponse()
	defer a.removeAwaitingResponse()
	request := a.call.newBackendRequest(a.server.Dialect, a.placement.ID, time.Until(a.call.deadline), a.forwarder.lastEventID)
	a.countSend()
	defer a.server.Paths.BeginWait(a.call.service)()
	writeResult, err := a.send(request)
	if err != nil {
		if errors.Is(err, upstream.ErrNotSent) {
			return attemptResult{isKnownNotRun: true, backendResult: a.resultUnlessCancelled(parent, backend.ResultInconclusive), reason: err.Error()}
		}
		return attemptResult{isSent: true, isTimeout: isTimeout(err), backendResult: a.resultUnlessCancelled(parent, backend.ResultConnectionFailure), reason: err.Error()}
	}
	a.setReadTimeout(a.forwarder.firstByteTimeout(a.placement.ExpectedFirstByte))
	response, err := conn.Receive(request, a.server.Dialect.RequestID)
	if err != nil {
		if parent.Err() == nil && !isLocalAbort(err) {
			a.server.Paths.SuspectBreak(a.call.service, err)
		}
		// A server that closes the connection without a response has usually run the request. One that sends nothing until
		// this node gives up has usually not started it: its queue was too long, or it hangs.
		if !isLocalAbort(err) {
			a.forwarder.countRun()
		}
		return attemptResult{isSent: true, isTimeout: isTimeout(err), backendResult: a.resultUnlessCancelled(parent, backend.ResultConnectionFailure), reason: err.Error()}
	}
	a.server.Paths.RecordBytes(a.call.service)
	if response.Body != http.NoBody {
		a.body = &trackedBody{ReadCloser: response.Body, lastByteAt: boottime.Now(), onBytes: func() { a.server.Paths.RecordBytes(a.call.service) }}
		response.Body = a.body
	}
	r := a.handleResponse(parent, response)
	r.isSent = true
	if a.canReuseConn(response, r) && isWritten(writeResult) && stop() {
		a.clearReadDeadline()
		conn.OnReadTimeout(nil)
		conn.Release(response)
		isReleased = true
	}
	return r
}

// isLocalAbort reports whether reading a response failed because this node closed the connection or a read timeout
// expired.
func isLocalAbort(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
}

// isTimeout reports whether a connection failed because this node did not wait any longer, or its kernel, which had got no
// acknowledgement for too long.
func isTimeout(err error) bool { return isLocalAbort(err) || errors.Is(err, syscall.ETIMEDOUT) }

// maxIdleTime returns how long a pooled connection may have been idle to be used for the request.
func (a *attempt) maxIdleTime() time.Duration {
	if a.call.route.IsRepeatable() {
		return maxIdleTimeRepeatable
	}
	return maxIdleTimeNonRepeatable
}

// send writes the request, in a goroutine if the body is large. The channel receives the result of the write when it is
// complete. The error is that of a write that ended before send returned.
func (a *attempt) send(request *http.Request) (<-chan error, error) {
	done := make(chan error, 1)
	if len(a.call.body) < asyncBodyBytes {
		err := a.conn.Send(request)
		done <- err
		return done, err
	}
	go func() { done <- a.conn.Send(request) }()
	return done, nil
}

// writeResultWait is how long the result of a write may come after the response to a request that was received whole.
const writeResultWait = 50 * time.Millisecond

// isWritten reports whether a request was written completely. A server may respond before that and read on slowly or not at
// all.
func isWritten(writeResult <-chan error) bool {
	select {
	case err := <-writeResult:
		return err == nil
	case <-time.After(writeResultWait):
		return false
	}
}

// canReuseConn reports whether the connection can be used for another request: the response was read to its end and the
// server did not ask to close the connection.
func (a *attempt) canReuseConn(response *http.Response, r attemptResult) bool {
	if r.backendResult == backend.ResultConnectionFailure || r.backendResult == backend.ResultInconclusive || response.Close {
		return false
	}
	return a.body == nil || a.body.hasEnded
}

// trackedBody records how much of a body was read, and whether it was read to its end.
type trackedBody struct {
	io.ReadCloser
	hasEnded   bool
	bytes      int64
	lastByteAt boottime.Instant // at first when the head was read
	onBytes    func()
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.bytes += int64(n)
		b.lastByteAt = boottime.Now()
		b.onBytes()
	}
	b.hasEnded = b.hasEnded || err == io.EOF
	return n, err
}

// addAwaitingResponse lets WatchWaitingRequests cancel the attempt until the response starts.
func (a *attempt) addAwaitingResponse() {
	a.server.mu.Lock()
	defer a.server.mu.Unlock()
	if a.server.awaitingResponse == nil {
		a.server.awaitingResponse = map[*attempt]struct{}{}
	}
	a.server.awaitingResponse[a] = struct{}{}
}

// removeAwaitingResponse undoes addAwaitingResponse. It returns false if there is nothing to undo.
func (a *attempt) removeAwaitingResponse() bool {
	a.server.mu.Lock()
	defer a.server.mu.Unlock()
	_, found := a.server.awaitingResponse[a]
	delete(a.server.awaitingResponse, a)
	return found
}

// cancelledResult is the result of an attempt whose response would be cut after its head, so that nothing of it is forwarded.
var cancelledResult = attemptResult{backendResult: backend.ResultInconclusive, reason: "request was cancelled when its response arrived"}

// resultUnlessCancelled returns r, or ResultInconclusive if the caller disconnected or the deadline passed, so that the
// failure is not attributed to the backend server.
func (a *attempt) resultUnlessCancelled(ctx context.Context, r backend.Result) backend.Result {
	if ctx.Err() != nil {
		return backend.ResultInconclusive
	}
	return r
}
