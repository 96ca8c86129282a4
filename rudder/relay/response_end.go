package relay

import (
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/boottime"
)

// This file decides whether a response that ended without an error of its connection or of its framing is complete. The table
// "Ends of responses" of docs/platform.md has all cases.

var (
	// errEndedWithServer means that a response without a length ended and its server accepts no connections.
	errEndedWithServer = errors.New("response without a length ended with its server")
	// errEndedWithinEvent means that an event stream ended in the middle of an event.
	errEndedWithinEvent = errors.New("event stream ended within an event")
	// errEndedBeforeFirstEvent means that an event stream without a length ended with no event.
	errEndedBeforeFirstEvent = errors.New("event stream without a length ended before its first event")
)

// endError returns an error if a response of which all bytes were read is not complete. Without a length, the end of the
// connection is also that of a server that crashes or is reclaimed: the response is complete only if the server still runs. A
// probe of another request may have begun before the end, so that its result is not shared.
func (a *attempt) endError(response *http.Response) error {
	if !endsWithConnection(response) {
		return nil
	}
	probedAt := boottime.Now()
	isRunning := isServerRunning(a.placement.Address)
	a.logUnframedEnd("server_accepts", isRunning, "probe_ms", boottime.Since(probedAt).Milliseconds())
	if !isRunning {
		return errEndedWithServer
	}
	return nil
}

// logUnframedEnd logs how a response without a length ended, with what was found out about it.
func (a *attempt) logUnframedEnd(findings ...any) {
	a.server.Log.Info("A response without a length ended.", append([]any{"request", a.call.id, "server", a.placement.ID, "send", a.forwarder.sends + 1,
		"bytes", a.body.bytes, "last_event", a.forwarder.lastEventID, "since_last_byte_ms", boottime.Since(a.body.lastByteAt).Milliseconds()}, findings...)...)
}

// endProbeWait is how long the end of a response without a length waits for the reset of a probe.
const endProbeWait = 50 * time.Millisecond

// isServerRunning connects to a server to find out whether it still runs. The kernel may end the connections of a killed process
// before its listening socket; the end of that resets connections that the process has not accepted.
func isServerRunning(address string) bool {
	conn, err := net.DialTimeout("tcp", address, crashProbeTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(endProbeWait))
	_, err = conn.Read(make([]byte, 1))
	return err == nil || err == io.EOF || errors.Is(err, os.ErrDeadlineExceeded)
}

// streamEndError is endError for an event stream. A server may stop in the middle of an event and still end the framing of its
// response in order.
func (a *attempt) streamEndError(response *http.Response, reader *eventReader) error {
	switch {
	case reader.isWithinEvent():
		return errEndedWithinEvent
	case endsWithConnection(response) && a.firstEventAt == 0:
		return errEndedBeforeFirstEvent
	}
	return a.endError(response)
}

// endsWithConnection reports whether only the end of the connection marks the end of a response, so that it does not show
// whether the response is complete.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}
