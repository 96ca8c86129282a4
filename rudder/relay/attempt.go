package relay

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/traffic"
	"chestnutrudder.example/rudder/upstream"
)

const (
	// maxBufferedBytes is the size up to which a plain response is read whole before its head goes out, so that a broken
	// one can be repeated or answered by a failure.
	maxBufferedBytes = 64 << 10
	// maxIdleTimeRepeatable and maxIdleTimeNonRepeatable are how long a kept connection may have been idle for a request that may be
	// repeated and for one that may not: a server may reset a connection that it has just closed.
	maxIdleTimeRepeatable    = 8 * time.Second
	maxIdleTimeNonRepeatable = 2 * time.Second
	// asyncBodyBytes is from where on a body is sent beside reading the response, which may come before its end.
	asyncBodyBytes = 32 << 10
	// streamChunkBytes is read at once from a stream.
	streamChunkBytes = 8 << 10
)

// attempt is one send of a request to one backend server.
type attempt struct {
	server    *Server
	call      *call
	placement *backend.Placement
	forwarder *forwarder
	conn      *upstream.Conn
	cancel    context.CancelFunc
}

// bufferedResponse is a whole response.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// run sends the request, passes the response on as far as it can, and keeps or closes the connection.
func (a *attempt) run(parent context.Context) attemptResult {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	a.cancel = cancel
	conn, err := a.placement.Server.Pool.Get(ctx, a.maxIdleTime())
	if err != nil {
		return attemptResult{isKnownNotRun: true, backendResult: a.resultUnlessCancelled(parent, backend.Broken), reason: err.Error()}
	}
	a.conn = conn
	// Closing the connection on cancellation makes the server drop the request.
	stop := context.AfterFunc(ctx, func() { _ = conn.Conn.Close() })
	isReleased := false
	defer func() {
		if !isReleased {
			conn.Discard()
		}
	}()
	a.addAwaitingResponse()
	defer a.removeAwaitingResponse()
	request := a.call.newBackendRequest(a.server.Dialect, a.placement.ID, time.Until(a.call.deadline), a.forwarder.lastEventID)
	writeResult, err := a.send(request)
	if err != nil {
		if errors.Is(err, upstream.ErrNotSent) {
			return attemptResult{isKnownNotRun: true, backendResult: a.resultUnlessCancelled(parent, backend.Inconclusive), reason: err.Error()}
		}
		return attemptResult{isSent: true, backendResult: a.resultUnlessCancelled(parent, backend.Broken), reason: err.Error()}
	}
	a.setReadTimeout(a.forwarder.firstByteTimeout(a.placement.Predicted))
	response, err := conn.Receive(request, a.server.Dialect.RequestID)
	if err != nil {
		// A server that ends the connection without an answer has mostly run the request. One that is silent until this node
		// gives up has mostly not begun: its queue was too long, or it hangs.
		if !isLocalAbort(err) {
			a.forwarder.countRun()
		}
		return attemptResult{isSent: true, backendResult: a.resultUnlessCancelled(parent, backend.Broken), reason: err.Error()}
	}
	r := a.handleResponse(parent, response)
	r.isSent = true
	if a.canReuseConn(response, r) && <-writeResult == nil && stop() {
		a.clearReadDeadline()
		conn.Release(response)
		isReleased = true
	}
	return r
}

// isLocalAbort reports whether reading a response failed because this node closed the connection or a time was over.
func isLocalAbort(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
}

func (a *attempt) maxIdleTime() time.Duration {
	if a.call.route.Repeatable() {
		return maxIdleTimeRepeatable
	}
	return maxIdleTimeNonRepeatable
}

// send writes the request; a large body goes out beside the reading of the response. The channel yields the error of
// the write when it has ended.
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

// canReuseConn reports whether the connection may serve another request: the response was read to its end.
func (a *attempt) canReuseConn(response *http.Response, r attemptResult) bool {
	if r.backendResult == backend.Broken || r.backendResult == backend.Inconclusive || response.Close {
		return false
	}
	var b [1]byte
	n, err := response.Body.Read(b[:])
	return n == 0 && err == io.EOF
}

// addAwaitingResponse lets the server cancel the attempt while no byte of the response has come.
func (a *attempt) addAwaitingResponse() {
	a.server.mu.Lock()
	defer a.server.mu.Unlock()
	if a.server.awaitingResponse == nil {
		a.server.awaitingResponse = map[*attempt]struct{}{}
	}
	a.server.awaitingResponse[a] = struct{}{}
}

func (a *attempt) removeAwaitingResponse() {
	a.server.mu.Lock()
	defer a.server.mu.Unlock()
	delete(a.server.awaitingResponse, a)
}

func (a *attempt) setReadTimeout(d time.Duration) {
	if d > 0 {
		_ = a.conn.SetReadDeadline(time.Now().Add(d))
		return
	}
	a.clearReadDeadline()
}

func (a *attempt) clearReadDeadline() { _ = a.conn.SetReadDeadline(time.Time{}) }

// resultUnlessCancelled returns the result for the server unless the request ended for a reason on the caller's side or at its deadline.
func (a *attempt) resultUnlessCancelled(ctx context.Context, r backend.Result) backend.Result {
	if ctx.Err() != nil {
		return backend.Inconclusive
	}
	return r
}

// handleResponse decides what to do with a response whose head has come.
func (a *attempt) handleResponse(ctx context.Context, response *http.Response) attemptResult {
	d := a.server.Dialect
	if response.Header.Get(d.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedBytes))
		if response.StatusCode == http.StatusMisdirectedRequest {
			a.placement.Misdirected()
		}
		return attemptResult{isKnownNotRun: true, backendResult: backend.Rejected, reason: "server refused with status " + strconv.Itoa(response.StatusCode)}
	}
	a.removeAwaitingResponse()
	a.placement.Answered()
	a.forwarder.countRun()
	a.server.metrics.recordFirstByte(a.call, time.Since(a.call.arrivedAt))
	isSuccess := response.StatusCode >= 200 && response.StatusCode < 300
	if isSuccess && (response.Header.Get(d.ResponseSignature) == "" || response.Header.Get("Content-Encoding") != "") {
		return attemptResult{backendResult: backend.Failed, reason: "success without the server's signature"}
	}
	if isSuccess && a.call.route.Kind == traffic.Streaming && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return a.forwardStream(ctx, response)
	}
	return a.forwardPlain(ctx, response, isSuccess)
}

// forwardPlain passes on a response that is no event stream.
func (a *attempt) forwardPlain(ctx context.Context, response *http.Response, isSuccess bool) attemptResult {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes+1))
	if err != nil {
		return attemptResult{backendResult: a.resultUnlessCancelled(ctx, backend.Broken), reason: "response broke off: " + err.Error()}
	}
	if len(body) > maxBufferedBytes {
		return a.forwardLarge(ctx, response, body)
	}
	b := &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}
	if isSuccess || response.StatusCode < 500 && !impliesNotRun(response.StatusCode) {
		a.forwarder.writeResponse(b)
		return attemptResult{isFinal: true, backendResult: backend.Completed}
	}
	r := attemptResult{backendResult: backend.Failed, reason: "server answered with status " + strconv.Itoa(response.StatusCode)}
	if !impliesNotRun(response.StatusCode) {
		r.response = b
	}
	return r
}

// impliesNotRun reports whether callers take a status as a promise that the request has not run. A server that answers
// so without saying that it has not run the request must not be quoted.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// forwardLarge passes on a response that is too large to be held.
func (a *attempt) forwardLarge(ctx context.Context, response *http.Response, buffered []byte) attemptResult {
	a.forwarder.writeHead(response)
	_, err := a.forwarder.writer.Write(buffered)
	if err == nil {
		_, err = io.Copy(a.forwarder.writer, response.Body)
	}
	if err != nil {
		a.forwarder.abort("large response broke off: " + err.Error())
	}
	a.forwarder.finishResponse(response.StatusCode)
	return attemptResult{isFinal: true, backendResult: backend.Completed}
}

// forwardStream passes on events as they arrive. The head goes out with the first whole event, so that a stream that breaks
// before it can begin anew elsewhere.
func (a *attempt) forwardStream(ctx context.Context, response *http.Response) attemptResult {
	f := a.forwarder
	reader := &eventReader{source: response.Body}
	skipUpTo := f.lastEventID
	controller := http.NewResponseController(f.writer)
	chunk := make([]byte, streamChunkBytes)
	for {
		a.setReadTimeout(f.eventTimeout())
		events, err := reader.next(chunk)
		if skipUpTo != "" {
			events = skipEvents(events, skipUpTo)
		}
		if len(events) > 0 {
			skipUpTo = ""
			if writeErr := f.writeEvents(events, response, controller); writeErr != nil {
				return attemptResult{isFinal: true, backendResult: backend.Inconclusive, reason: "caller does not read: " + writeErr.Error()}
			}
			f.lastEventID = reader.lastID
		}
		switch {
		case err == io.EOF:
			return a.finishStream(reader, response, controller)
		case err != nil:
			return attemptResult{backendResult: a.resultUnlessCancelled(ctx, backend.Broken), reason: "stream broke off: " + err.Error()}
		}
	}
}

// finishStream ends a stream whose last byte has come.
func (a *attempt) finishStream(reader *eventReader, response *http.Response, controller *http.ResponseController) attemptResult {
	f := a.forwarder
	if rest := reader.remainder(); len(rest) > 0 {
		if err := f.writeEvents(rest, response, controller); err != nil {
			return attemptResult{isFinal: true, backendResult: backend.Inconclusive, reason: "caller does not read: " + err.Error()}
		}
	}
	if !f.isHeadSent {
		f.writeHead(response)
	}
	f.finishResponse(response.StatusCode)
	return attemptResult{isFinal: true, backendResult: backend.Completed}
}

// writeTimeout bounds a write to a caller that does not read.
const writeTimeout = 5 * time.Second

func (f *forwarder) writeEvents(events []byte, response *http.Response, controller *http.ResponseController) error {
	if !f.isHeadSent {
		f.writeHead(response)
	}
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := f.writer.Write(events); err != nil {
		return err
	}
	return controller.Flush()
}

// writeHead sends the head of a response whose body follows piece by piece.
func (f *forwarder) writeHead(response *http.Response) {
	h := f.writer.Header()
	copyHeader(h, response.Header)
	h.Del("Content-Length")
	f.server.closeConnectionIfDraining(h)
	f.isHeadSent = true
	f.writer.WriteHeader(response.StatusCode)
}

func (f *forwarder) finishResponse(status int) {
	_ = http.NewResponseController(f.writer).SetWriteDeadline(time.Time{})
	f.server.Log.Info("Response is passed on.", "request", f.call.id, "status", status, "sends", f.sends+1, "last_event", f.lastEventID, "after_ms", time.Since(f.call.arrivedAt).Milliseconds())
	f.server.metrics.countRequest(f.call, status)
}

// skipEvents drops leading events up to the one with the given id, which the caller has already. Ids that are no numbers
// are not compared.
func skipEvents(events []byte, lastID string) []byte {
	lastNumber, err := strconv.ParseInt(lastID, 10, 64)
	if err != nil {
		return events
	}
	for len(events) > 0 {
		end := bytes.Index(events, []byte("\n\n"))
		if end < 0 {
			return events
		}
		id, found := parseLastEventID(events[:end+1])
		number, err := strconv.ParseInt(id, 10, 64)
		if !found || err != nil || number > lastNumber {
			return events
		}
		events = events[end+2:]
	}
	return nil
}
