package relay

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/outcome"
	"chestnutrudder.example/rudder/resource"
)

// bodyTimeout bounds reading the body of a request, after its head was read.
const bodyTimeout = 5 * time.Second

func newBody(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }

// firstBodyBytes is the size of the first buffer for a body.
const firstBodyBytes = 16 << 10

// hasBody reports whether a request has a body that was not read.
func hasBody(r *http.Request) bool {
	return r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0
}

// readBody reads the complete body, so that the request can be sent again and a caller that stops sending does not occupy a
// backend server. The memory is charged. On failure it returns an error for the caller. A maxBytes of 0 means no limit.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64, charge *resource.Charge) ([]byte, *outcome.Error) {
	if !hasBody(r) {
		return nil, nil
	}
	if maxBytes > 0 && r.ContentLength > maxBytes {
		return nil, errBodyTooLarge()
	}
	if maxBytes > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, maxBytes)
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	charge.AwaitCaller()
	body, err := readCharged(r.Body, r.ContentLength, charge)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, errBodyTooLarge()
	case errors.Is(err, resource.ErrExhausted):
		return nil, outcome.NotRunErrorf(http.StatusServiceUnavailable, exhaustedRetryAfter, "node has no memory for the request body")
	case err != nil:
		return nil, outcome.NotRunErrorf(http.StatusRequestTimeout, 0, "request body could not be read")
	}
	charge.EndAwait()
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

func errBodyTooLarge() *outcome.Error {
	return outcome.NotRunErrorf(http.StatusRequestEntityTooLarge, 0, "request body is too large")
}

// exhaustedRetryAfter is sent to callers for whose requests the node has no memory.
const exhaustedRetryAfter = 300 * time.Millisecond

// readCharged reads all of a body. The buffer grows with what arrives, not to the announced length at once: many callers
// announce a long body and never send it. length is the announced length, -1 if there is none.
func readCharged(body io.Reader, length int64, charge *resource.Charge) ([]byte, error) {
	size := int64(firstBodyBytes)
	if length >= 0 {
		size = min(size, length+1) // one more than the length, so that the end is seen without growing
	}
	if err := charge.Resize(resource.Body, size); err != nil {
		return nil, err
	}
	buffer := make([]byte, 0, size)
	for {
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
		if len(buffer) < cap(buffer) {
			continue
		}
		size = 2 * int64(cap(buffer))
		if length >= 0 {
			size = min(size, length+1)
		}
		if err := charge.Resize(resource.Body, size+int64(cap(buffer))); err != nil { // both exist during the copy
			return nil, err
		}
		grown := make([]byte, len(buffer), size)
		copy(grown, buffer)
		buffer = grown
		if err := charge.Resize(resource.Body, size); err != nil {
			return nil, err
		}
	}
}

const (
	// maxDiscardedBytes and discardTimeout bound what is read of a body after the request was refused.
	maxDiscardedBytes = 256 << 10
	discardTimeout    = 500 * time.Millisecond
)

// refuse answers a request whose body was not read to its end, and closes the connection, so that no byte of the body is taken for
// the next request. It reads some of the body and drops it: closing the connection with unread bytes resets it, and the caller
// might not see the response.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, c *call, problem *outcome.Error) {
	if !hasBody(r) {
		s.writeError(w, c, problem)
		return
	}
	w.Header().Set("Connection", "close")
	c.charge.ForceResize(resource.Body, 0)
	c.charge.AwaitCaller()
	s.writeError(w, c, problem)
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(discardTimeout)) // net/http too reads from the body after the handler
	if err := controller.Flush(); err != nil || r.Header.Get("Expect") != "" {
		return // a caller that waits for a permission to send has sent nothing
	}
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardedBytes)
}
