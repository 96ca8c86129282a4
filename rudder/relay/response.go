package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/detour"
	"chestnutrudder.example/rudder/outcome"
	"chestnutrudder.example/rudder/traffic"
	"chestnutrudder.example/rudder/upstream"
)

// This file forwards the responses of backend servers, or decides that they must not be forwarded.

// handleResponse forwards a response whose head was received, or decides that it must not be forwarded.
func (a *attempt) handleResponse(ctx context.Context, response *http.Response) attemptResult {
	d := a.server.Dialect
	detour.RemoveHeaders(response.Header)
	isPaused := a.recordServerState(response)
	if d.statesNotRun(response) {
		if err := a.discardBody(response); errors.Is(err, upstream.ErrMalformedResponse) {
			a.forwarder.countRun()
			return a.brokenResponse(ctx, errors.Wrap(err, "read refusal"))
		}
		if response.StatusCode == http.StatusMisdirectedRequest {
			a.placement.MarkMisdirected()
		}
		return attemptResult{isKnownNotRun: true, isPaused: isPaused, backendResult: backend.ResultRejected, reason: "backend server refused the request with status " + strconv.Itoa(response.StatusCode)}
	}
	a.isCancelled = !a.removeAwaitingResponse()
	a.headAt = boottime.Now()
	a.progressAt = a.headAt
	a.placement.RecordFirstByte()
	a.forwarder.countRun()
	a.server.metrics.recordFirstByte(a.call, time.Since(a.call.arrivedAt))
	isSuccess := response.StatusCode >= 200 && response.StatusCode < 300
	if response.Header.Get(d.NotRun) != "" {
		return attemptResult{backendResult: backend.ResultServerFailure, reason: fmt.Sprintf("response with status %d states that the request has not run", response.StatusCode)}
	}
	if isSuccess && (response.Header.Get(d.ResponseSignature) == "" || response.Header.Get("Content-Encoding") != "") {
		return attemptResult{backendResult: backend.ResultServerFailure, reason: "success response has no signature header or has a content encoding"}
	}
	contentType := response.Header.Get("Content-Type")
	if isSuccess && a.call.route.Kind == traffic.Streaming && strings.HasPrefix(contentType, "text/event-stream") {
		return a.forwardStream(ctx, response)
	}
	if a.forwarder.isHeadSent {
		return attemptResult{backendResult: backend.ResultServerFailure, reason: fmt.Sprintf("response with status %d and content type %.40q does not continue the stream", response.StatusCode, contentType)}
	}
	var r attemptResult
	if outcome.ImpliesNotRun(response.StatusCode) {
		r = a.withholdResponse(ctx, response)
	} else {
		r = a.forwardPlain(ctx, response, isSuccess)
	}
	if isPaused && r.backendResult == backend.ResultServerFailure {
		r.backendResult = backend.ResultRejected // a server that asks for a pause has not failed
	}
	return r
}

// statesNotRun reports whether a server states with a response that it has not run the request. The header on a status that is no
// error contradicts it: such a server may have run the request.
func (d *Dialect) statesNotRun(response *http.Response) bool {
	return response.StatusCode == http.StatusMisdirectedRequest || response.StatusCode >= 400 && response.Header.Get(d.NotRun) != ""
}

// refusalBodyTimeout bounds the reading of the body of a refusal, which only allows the connection to be used again. The request
// goes elsewhere meanwhile.
const refusalBodyTimeout = 50 * time.Millisecond

// discardBody reads the body of a refusal. An error matters only if it shows that the head is not that of a refusal.
func (a *attempt) discardBody(response *http.Response) error {
	a.conn.OnReadTimeout(nil)
	a.setReadTimeout(refusalBodyTimeout)
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedBytes+1)) // one more, so that the end is seen
	return err
}

// withheldEndTimeout bounds the search for the identity of a server whose response is withheld: the request goes elsewhere meanwhile.
const withheldEndTimeout = 100 * time.Millisecond

// withholdResponse handles a response whose status implies that the request has not run, while the server has not stated that.
// Whatever its body is, the response is not forwarded. What is read of the body shows whether the server broke off, and allows
// the connection to be used again.
func (a *attempt) withholdResponse(ctx context.Context, response *http.Response) attemptResult {
	err := a.discardBody(response)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, withheldEndTimeout)
		defer cancel()
		err = a.endError(ctx, response)
	}
	if err != nil && !isLocalAbort(err) {
		return a.brokenResponse(ctx, errors.Wrap(err, "read response body"))
	}
	return attemptResult{backendResult: a.resultUnlessCancelled(ctx, backend.ResultServerFailure), reason: fmt.Sprintf("backend server responded with status %d and did not state that the request has not run", response.StatusCode)}
}

// forwardPlain forwards a response that is not an event stream and whose status does not imply that the request has not run.
func (a *attempt) forwardPlain(ctx context.Context, response *http.Response, isSuccess bool) attemptResult {
	a.setReadTimeout(a.forwarder.firstByteTimeout(a.placement.ExpectedFirstByte))
	if endsWithConnection(response) {
		response.Body = &headSearcher{ReadCloser: response.Body, requestIDHeader: a.server.Dialect.RequestID}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes+1))
	if err != nil {
		return a.brokenResponse(ctx, a.readError(response, err, "read response body"))
	}
	if len(body) > maxBufferedBytes {
		// What was buffered does not allow the failure to be forwarded after another attempt, so that a place for that is reserved
		// before this response is given up.
		if response.StatusCode >= 500 && a.forwarder.secureAlternative(a.placement.ID) == "" {
			return attemptResult{backendResult: backend.ResultServerFailure, reason: failureReason(response.StatusCode)}
		}
		return a.forwardLarge(ctx, response, body, isSuccess)
	}
	if err := a.endError(ctx, response); err != nil {
		return a.brokenResponse(ctx, err)
	}
	b := &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}
	if response.StatusCode < 500 {
		a.forwarder.writeResponse(b)
		return attemptResult{isFinal: true, isAnswer: isSuccess, backendResult: backend.ResultCompleted}
	}
	return attemptResult{backendResult: backend.ResultServerFailure, reason: failureReason(response.StatusCode), response: b}
}

func failureReason(status int) string {
	return "backend server responded with status " + strconv.Itoa(status)
}

// errResponseTooLarge means that the body of a response exceeds the limit.
var errResponseTooLarge = errors.New("response body is too large")

// brokenResponse returns the result for a response that could not be read to its end.
func (a *attempt) brokenResponse(ctx context.Context, err error) attemptResult {
	return attemptResult{isTimeout: isTimeout(err), backendResult: a.resultUnlessCancelled(ctx, backend.ResultConnectionFailure), reason: err.Error()}
}

// forwardLarge forwards a response that exceeds maxBufferedBytes; buffered is the part of its body that was read already. If
// the rest fails, the result is partial.
func (a *attempt) forwardLarge(ctx context.Context, response *http.Response, buffered []byte, isSuccess bool) attemptResult {
	if a.isCancelled {
		return cancelledResult
	}
	f := a.forwarder
	limit := f.server.MaxResponseBytes
	if limit == 0 {
		limit = defaultMaxResponseBytes
	}
	f.writeHead(response)
	a.clearReadDeadline() // the request cannot go elsewhere any more
	rest := &io.LimitedReader{R: response.Body, N: limit - int64(len(buffered)) + 1}
	caller := &callerWriter{ResponseWriter: f.writer}
	_, err := caller.Write(buffered)
	if err == nil {
		if _, err = io.Copy(caller, rest); err != nil && caller.err == nil {
			err = a.readError(response, err, "read large response")
		}
	}
	if err == nil && rest.N <= 0 {
		err = errors.Wrapf(errResponseTooLarge, "read large response: more than %d bytes", limit)
	}
	if err == nil {
		err = errors.Wrap(a.endError(ctx, response), "read large response")
	}
	switch {
	case caller.err != nil:
		return attemptResult{isPartial: true, backendResult: backend.ResultInconclusive, reason: "write large response to caller: " + caller.err.Error()}
	case err != nil:
		r := a.brokenResponse(ctx, err)
		r.isPartial = true
		return r
	}
	f.finishResponse(response.StatusCode)
	if response.StatusCode >= 500 {
		return attemptResult{isFinal: true, backendResult: backend.ResultServerFailure, reason: failureReason(response.StatusCode)}
	}
	return attemptResult{isFinal: true, isAnswer: isSuccess, backendResult: backend.ResultCompleted}
}

// callerWriter writes to a caller and keeps the error, which tells failures of the caller from those of the server.
type callerWriter struct {
	http.ResponseWriter
	err error
}

func (w *callerWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	if err != nil {
		w.err = err
	}
	return n, err
}

// forwardStream forwards events as they arrive. The head is sent with the first complete event, so that a stream that breaks
// before can be started again on another server.
func (a *attempt) forwardStream(ctx context.Context, response *http.Response) attemptResult {
	if a.isCancelled {
		return cancelledResult
	}
	f := a.forwarder
	reader := &eventReader{source: response.Body, requestIDHeader: a.server.Dialect.RequestID, memory: a.server.newMemoryAccount()}
	defer reader.memory.release()
	skipUpTo := f.lastEventID
	controller := http.NewResponseController(f.writer)
	chunk := make([]byte, streamChunkBytes)
	var eventPace eventPace
	a.setReadTimeout(f.eventTimeout())
	for {
		events, err := reader.next(chunk)
		if len(events) > 0 {
			a.progressAt = boottime.Now()
			if a.firstEventAt == 0 {
				a.firstEventAt = a.progressAt
			}
			eventPace.observe(events, a.progressAt)
		}
		if skipUpTo != "" {
			var continuationErr error
			if events, continuationErr = continuation(events, skipUpTo); continuationErr != nil {
				return attemptResult{backendResult: backend.ResultServerFailure, reason: continuationErr.Error()}
			}
		}
		if len(events) > 0 {
			skipUpTo = ""
			f.recordOrigin(a.placement)
			if writeErr := f.writeEvents(events, response, controller); writeErr != nil {
				return attemptResult{isPartial: true, backendResult: backend.ResultInconclusive, reason: "write events to caller: " + writeErr.Error()}
			}
			f.lastEventID = reader.lastID
			eventPace.blocked += boottime.Since(a.progressAt)
			// Bytes that complete no event do not extend the time for the next one.
			a.setReadTimeout(f.eventTimeout())
		}
		switch {
		case err == io.EOF:
			if err := a.streamEndError(ctx, response, reader); err != nil {
				return a.brokenResponse(ctx, err)
			}
			eventPace.report(a.placement)
			return a.finishStream(reader, response, controller)
		case err != nil:
			return a.brokenResponse(ctx, a.readError(response, err, "read event stream"))
		}
	}
}

// finishStream forwards the rest of a stream that the backend server has ended.
func (a *attempt) finishStream(reader *eventReader, response *http.Response, controller *http.ResponseController) attemptResult {
	f := a.forwarder
	if rest := reader.remainder(); len(rest) > 0 {
		if err := f.writeEvents(rest, response, controller); err != nil {
			return attemptResult{isPartial: true, backendResult: backend.ResultInconclusive, reason: "write events to caller: " + err.Error()}
		}
	}
	if !f.isHeadSent {
		f.writeHead(response)
	}
	f.finishResponse(response.StatusCode)
	return attemptResult{isFinal: true, isAnswer: true, backendResult: backend.ResultCompleted}
}

// writeTimeout bounds each write of events to a caller, which may not be reading.
const writeTimeout = 5 * time.Second

// writeEvents sends events to the caller immediately, after the head if that was not sent.
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

// writeHead sends the head of a response whose body follows in several writes.
func (f *forwarder) writeHead(response *http.Response) {
	h := f.writer.Header()
	copyHeader(h, response.Header)
	h.Del("Content-Length")
	f.server.closeConnectionIfNeeded(f.call, h)
	f.sendStatus(response.StatusCode)
}

// sendStatus ends the head of a backend server's response to the caller. Every forwarded response passes here: a server whose
// response is forwarded may have run the request, so that a status that denies it is replaced and the response is not signed.
func (f *forwarder) sendStatus(status int) {
	callerStatus := outcome.Unknown.CallerStatus(status)
	if callerStatus != status {
		f.writer.Header().Del(f.server.Dialect.ResponseSignature)
		f.server.Log.Error("Replaced the status of a response, which implies that the request has not run.", "request", f.call.id, "status", status)
	}
	f.isHeadSent = true
	f.writer.WriteHeader(callerStatus)
}

// finishResponse clears the write timeout and logs and counts a response whose body was sent in several writes.
func (f *forwarder) finishResponse(status int) {
	_ = http.NewResponseController(f.writer).SetWriteDeadline(time.Time{})
	f.server.Log.Info("Forwarded the response to the caller.", "request", f.call.id, "status", status, "sends", f.sends+1, "last_event", f.lastEventID, "after_ms", time.Since(f.call.arrivedAt).Milliseconds())
	f.server.metrics.countRequest(f.call, status)
}
