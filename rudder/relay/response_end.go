package relay

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/boottime"
)

// This file decides whether a response that ended without an error of its framing is complete. The table "Ends of responses" of
// docs/platform.md has all cases.

var (
	// errEndedWithServer means that a response without a length ended and its server has ended too.
	errEndedWithServer = errors.New("response without a length ended with its server")
	// errEndUnknown means that a response without a length ended and nothing shows whether its server has ended too.
	errEndUnknown = errors.New("response without a length ended and its server cannot be identified")
	// errEndedWithinEvent means that an event stream ended in the middle of an event.
	errEndedWithinEvent = errors.New("event stream ended within an event")
	// errEndedBeforeFirstEvent means that an event stream without a length ended with no event.
	errEndedBeforeFirstEvent = errors.New("event stream without a length ended before its first event")
)

// endEvidence is what is known about the end of a response of which all bytes were read.
type endEvidence struct {
	endsWithConnection bool           // the response has neither a length nor chunks
	isWithinEvent      bool           // the bytes after the last event of a stream are a part of one
	lacksEvents        bool           // a stream without an event
	connErr            error          // the first error of the connection, whichever call has received it
	server             serverIdentity // of the process that answers at the server's address after the end
}

// judgeEnd returns an error unless the evidence shows that a response is complete. Without a length, its end is that of its
// connection, which is also how a reset looks to a reader that did not receive it, and how a server ends that crashes: the response
// is complete only if the connection had no error and the process that sent it still runs.
func judgeEnd(e endEvidence) error {
	switch {
	case e.isWithinEvent:
		return errEndedWithinEvent
	case !e.endsWithConnection:
		return nil // the framing marks the end, and was checked while the body was read
	case e.connErr != nil:
		return errors.Wrap(e.connErr, "connection failed before the end of a response without a length")
	case e.lacksEvents:
		return errEndedBeforeFirstEvent
	case e.server == identityOther:
		return errEndedWithServer
	case e.server != identitySame:
		return errEndUnknown
	}
	return nil
}

// endError returns an error if a response of which all bytes were read is not complete.
func (a *attempt) endError(ctx context.Context, response *http.Response) error {
	return a.findEndError(ctx, response, endEvidence{})
}

// streamEndError is endError for an event stream. A server may stop in the middle of an event and still end the framing of its
// response in order.
func (a *attempt) streamEndError(ctx context.Context, response *http.Response, reader *eventReader) error {
	return a.findEndError(ctx, response, endEvidence{isWithinEvent: reader.isWithinEvent(), lacksEvents: a.firstEventAt == 0})
}

// findEndError completes the evidence about the end of a response and judges it. It asks for the identity of the server only if that
// matters.
func (a *attempt) findEndError(ctx context.Context, response *http.Response, e endEvidence) error {
	e.endsWithConnection, e.connErr, e.server = endsWithConnection(response), a.conn.Err(), identitySame
	if !e.endsWithConnection {
		return judgeEnd(e)
	}
	lastByteAge, askedAt := boottime.Since(a.body.lastByteAt), boottime.Now()
	if judgeEnd(e) == nil {
		e.server = a.server.findIdentity(ctx, a.placement, a.sentAt)
	}
	err := judgeEnd(e)
	a.server.Log.Info("A response without a length ended.", "request", a.call.id, "server", a.placement.ID, "send", a.forwarder.sends+1, "complete", err == nil,
		"bytes", a.body.bytes, "last_event", a.forwarder.lastEventID, "since_last_byte_ms", lastByteAge.Milliseconds(), "server_identity", string(e.server),
		"probe_ms", boottime.Since(askedAt).Milliseconds(), "error", err)
	a.server.metrics.countUnframedEnd(a.call, err == nil)
	return err
}

// endsWithConnection reports whether only the end of the connection marks the end of a response, so that it does not show
// whether the response is complete.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}
