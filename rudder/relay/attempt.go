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
	// maxIdleRepeatable and maxIdleOnce are how long a kept connection may have been idle for a request that may be
	// repeated and for one that may not: a server may reset a connection that it has just closed.
	maxIdleRepeatable = 8 * time.Second
	maxIdleOnce       = 2 * time.Second
	// largeBodyBytes is from where on a body is sent beside reading the response, which may come before its end.
	largeBodyBytes = 32 << 10
	// streamChunkBytes is read at once from a stream.
	streamChunkBytes = 8 << 10
)

// attempt is one send of a request to one backend server.
type attempt struct {
	server    *Server
	call      *call
	placement *backend.Placement
	pursuit   *pursuit
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
func (a *attempt) run(parent context.Context) result {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	a.cancel = cancel
	conn, err := a.placement.Server.Pool.Get(ctx, a.maxIdle())
	if err != nil {
		return result{notRun: true, backend: a.blame(parent, backend.ResultConnectionFailure), reason: err.Error()}
	}
	a.conn = conn
	// Closing the connection on cancellation makes the server drop the request.
	stop := context.AfterFunc(ctx, func() { _ = conn.Conn.Close() })
	kept := false
	defer func() {
		if !kept {
			conn.Discard()
		}
	}()
	a.watch()
	defer a.unwatch()
	request := a.call.outgoing(a.server.Dialect, a.placement.ID, time.Until(a.call.deadline), a.pursuit.lastEvent)
	sent, err := a.send(request)
	if err != nil {
		if errors.Is(err, upstream.ErrNotSent) {
			return result{notRun: true, backend: a.blame(parent, backend.ResultInconclusive), reason: err.Error()}
		}
		return result{sent: true, backend: a.blame(parent, backend.ResultConnectionFailure), reason: err.Error()}
	}
	a.limitSilence(a.pursuit.silenceLimit(a.placement.PredictedFirstByte))
	response, err := conn.Receive(request, a.server.Dialect.RequestID)
	if err != nil {
		// A server that ends the connection without an answer has mostly run the request. One that is silent until this node
		// gives up has mostly not begun: its queue was too long, or it hangs.
		if !gaveUp(err) {
			a.pursuit.countRun()
		}
		return result{sent: true, backend: a.blame(parent, backend.ResultConnectionFailure), reason: err.Error()}
	}
	r := a.answer(parent, response)
	r.sent = true
	if a.mayKeep(response, r) && <-sent == nil && stop() {
		a.clearDeadline()
		conn.Keep(response)
		kept = true
	}
	return r
}

// gaveUp reports whether reading a response failed because this node closed the connection or a time was over.
func gaveUp(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
}

func (a *attempt) maxIdle() time.Duration {
	if a.call.route.Repeatable() {
		return maxIdleRepeatable
	}
	return maxIdleOnce
}

// send writes the request; a large body goes out beside the reading of the response. The channel yields the error of
// the write when it has ended.
func (a *attempt) send(request *http.Request) (<-chan error, error) {
	done := make(chan error, 1)
	if len(a.call.body) < largeBodyBytes {
		err := a.conn.Send(request)
		done <- err
		return done, err
	}
	go func() { done <- a.conn.Send(request) }()
	return done, nil
}

// mayKeep reports whether the connection may serve another request: the response was read to its end.
func (a *attempt) mayKeep(response *http.Response, r result) bool {
	if r.backend == backend.ResultConnectionFailure || r.backend == backend.ResultInconclusive || response.Close {
		return false
	}
	var b [1]byte
	n, err := response.Body.Read(b[:])
	return n == 0 && err == io.EOF
}

// watch lets the server cancel the attempt while no byte of the response has come.
func (a *attempt) watch() {
	a.server.mu.Lock()
	defer a.server.mu.Unlock()
	if a.server.unstarted == nil {
		a.server.unstarted = map[*attempt]struct{}{}
	}
	a.server.unstarted[a] = struct{}{}
}

func (a *attempt) unwatch() {
	a.server.mu.Lock()
	defer a.server.mu.Unlock()
	delete(a.server.unstarted, a)
}

func (a *attempt) limitSilence(d time.Duration) {
	if d > 0 {
		_ = a.conn.SetReadDeadline(time.Now().Add(d))
		return
	}
	a.clearDeadline()
}

func (a *attempt) clearDeadline() { _ = a.conn.SetReadDeadline(time.Time{}) }

// blame returns the result for the server unless the request ended for a reason on the caller's side or at its deadline.
func (a *attempt) blame(ctx context.Context, r backend.Result) backend.Result {
	if ctx.Err() != nil {
		return backend.ResultInconclusive
	}
	return r
}

// answer decides what to do with a response whose head has come.
func (a *attempt) answer(ctx context.Context, response *http.Response) result {
	d := a.server.Dialect
	if response.Header.Get(d.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedBytes))
		if response.StatusCode == http.StatusMisdirectedRequest {
			a.placement.MarkMisdirected()
		}
		return result{notRun: true, backend: backend.ResultRejected, reason: "server refused with status " + strconv.Itoa(response.StatusCode)}
	}
	a.unwatch()
	a.placement.RecordFirstByte()
	a.pursuit.countRun()
	a.server.metrics.firstByte(a.call, time.Since(a.call.arrived))
	success := response.StatusCode >= 200 && response.StatusCode < 300
	if success && (response.Header.Get(d.Stamp) == "" || response.Header.Get("Content-Encoding") != "") {
		return result{backend: backend.ResultServerFailure, reason: "success without the server's signature"}
	}
	if success && a.call.route.Kind == traffic.Streaming && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return a.stream(ctx, response)
	}
	return a.plain(ctx, response, success)
}

// plain passes on a response that is no event stream.
func (a *attempt) plain(ctx context.Context, response *http.Response, success bool) result {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes+1))
	if err != nil {
		return result{backend: a.blame(ctx, backend.ResultConnectionFailure), reason: "response broke off: " + err.Error()}
	}
	if len(body) > maxBufferedBytes {
		return a.passLarge(ctx, response, body)
	}
	b := &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}
	if success || response.StatusCode < 500 && !promisesNotRun(response.StatusCode) {
		a.pursuit.pass(b)
		return result{final: true, backend: backend.ResultCompleted}
	}
	r := result{backend: backend.ResultServerFailure, reason: "server answered with status " + strconv.Itoa(response.StatusCode)}
	if !promisesNotRun(response.StatusCode) {
		r.response = b
	}
	return r
}

// promisesNotRun reports whether callers take a status as a promise that the request has not run. A server that answers
// so without saying that it has not run the request must not be quoted.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// passLarge passes on a response that is too large to be held.
func (a *attempt) passLarge(ctx context.Context, response *http.Response, begun []byte) result {
	a.pursuit.begin(response)
	_, err := a.pursuit.writer.Write(begun)
	if err == nil {
		_, err = io.Copy(a.pursuit.writer, response.Body)
	}
	if err != nil {
		a.pursuit.cut("large response broke off: " + err.Error())
	}
	a.pursuit.ended(response.StatusCode)
	return result{final: true, backend: backend.ResultCompleted}
}

// stream passes on events as they arrive. The head goes out with the first whole event, so that a stream that breaks
// before it can begin anew elsewhere.
func (a *attempt) stream(ctx context.Context, response *http.Response) result {
	p := a.pursuit
	events := &eventReader{source: response.Body}
	skipUpTo := p.lastEvent
	controller := http.NewResponseController(p.writer)
	chunk := make([]byte, streamChunkBytes)
	for {
		a.limitSilence(p.gapLimit())
		whole, err := events.next(chunk)
		if skipUpTo != "" {
			whole = skipEvents(whole, skipUpTo)
		}
		if len(whole) > 0 {
			skipUpTo = ""
			if writeErr := p.writeEvents(whole, response, controller); writeErr != nil {
				return result{final: true, backend: backend.ResultInconclusive, reason: "caller does not read: " + writeErr.Error()}
			}
			p.lastEvent = events.lastID
		}
		switch {
		case err == io.EOF:
			return a.streamEnd(events, response, controller)
		case err != nil:
			return result{backend: a.blame(ctx, backend.ResultConnectionFailure), reason: "stream broke off: " + err.Error()}
		}
	}
}

// streamEnd ends a stream whose last byte has come.
func (a *attempt) streamEnd(events *eventReader, response *http.Response, controller *http.ResponseController) result {
	p := a.pursuit
	if rest := events.rest(); len(rest) > 0 {
		if err := p.writeEvents(rest, response, controller); err != nil {
			return result{final: true, backend: backend.ResultInconclusive, reason: "caller does not read: " + err.Error()}
		}
	}
	if !p.headSent {
		p.begin(response)
	}
	p.ended(response.StatusCode)
	return result{final: true, backend: backend.ResultCompleted}
}

// writeTimeout bounds a write to a caller that does not read.
const writeTimeout = 5 * time.Second

func (p *pursuit) writeEvents(events []byte, response *http.Response, controller *http.ResponseController) error {
	if !p.headSent {
		p.begin(response)
	}
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := p.writer.Write(events); err != nil {
		return err
	}
	return controller.Flush()
}

// begin sends the head of a response whose body follows piece by piece.
func (p *pursuit) begin(response *http.Response) {
	h := p.writer.Header()
	copyHeader(h, response.Header)
	h.Del("Content-Length")
	p.server.endConnection(h)
	p.headSent = true
	p.writer.WriteHeader(response.StatusCode)
}

func (p *pursuit) ended(status int) {
	_ = http.NewResponseController(p.writer).SetWriteDeadline(time.Time{})
	p.server.Log.Info("Response is passed on.", "request", p.call.id, "status", status, "sends", p.sends+1, "last_event", p.lastEvent, "after_ms", time.Since(p.call.arrived).Milliseconds())
	p.server.metrics.count(p.call, status)
}

// skipEvents drops leading events up to the one with the given id, which the caller has already. Ids that are no numbers
// are not compared.
func skipEvents(events []byte, upTo string) []byte {
	last, err := strconv.ParseInt(upTo, 10, 64)
	if err != nil {
		return events
	}
	for len(events) > 0 {
		end := bytes.Index(events, []byte("\n\n"))
		if end < 0 {
			return events
		}
		id, found := lastEventIDOf(events[:end+1])
		number, err := strconv.ParseInt(id, 10, 64)
		if !found || err != nil || number > last {
			return events
		}
		events = events[end+2:]
	}
	return nil
}
