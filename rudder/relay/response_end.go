package relay

import (
	"context"
	"net/http"
	"time"

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
// response in order. A continuation may have no events left.
func (a *attempt) streamEndError(ctx context.Context, response *http.Response, reader *eventReader) error {
	return a.findEndError(ctx, response, endEvidence{isWithinEvent: reader.isWithinEvent(), lacksEvents: a.firstEventAt == 0 && a.forwarder.lastEventID == ""})
}

// findEndError completes the evidence about the end of a response and judges it. It asks for the identity of the server only if that
// matters.
func (a *attempt) findEndError(ctx context.Context, response *http.Response, e endEvidence) error {
	if e.endsWithConnection = endsWithConnection(response); !e.endsWithConnection {
		return judgeEnd(e)
	}
	e.connErr = a.conn.Err()
	finding := identityFinding{identity: identityUnasked}
	lastByteAge, askedAt := boottime.Since(a.body.lastByteAt), boottime.Now()
	if e.server = identitySame; judgeEnd(e) == nil {
		finding = a.server.findIdentity(ctx, a.placement, a.sentAt)
		e.server = finding.identity
	}
	err := judgeEnd(e)
	a.isServerReplaced = finding.identity == identityOther
	a.recordUnframedEnd(err, lastByteAge, "server_identity", string(finding.identity), "evidence", finding.detail, "probe_ms", boottime.Since(askedAt).Milliseconds())
	return err
}

// recordUnframedEnd logs and counts the end of a response without a length. err is nil if it is complete.
func (a *attempt) recordUnframedEnd(err error, lastByteAge time.Duration, findings ...any) {
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	a.server.Log.Info("A response without a length ended.", append([]any{"request", a.call.id, "server", a.placement.ID, "send", a.forwarder.sends + 1, "complete", err == nil,
		"bytes", a.body.bytes, "last_event", a.forwarder.lastEventID, "since_last_byte_ms", lastByteAge.Milliseconds(), "reason", reason}, findings...)...)
	a.server.metrics.countUnframedEnd(a.call, err == nil)
}

// readError returns the error of a body that could not be read to its end, and records it if the body has no length.
func (a *attempt) readError(response *http.Response, err error, message string) error {
	err = errors.Wrap(err, message)
	if endsWithConnection(response) {
		a.recordUnframedEnd(err, boottime.Since(a.body.lastByteAt), "server_identity", string(identityUnasked))
	}
	return err
}

// endsWithConnection reports whether only the end of the connection marks the end of a response, so that it does not show
// whether the response is complete.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}
