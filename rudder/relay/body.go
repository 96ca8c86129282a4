package relay

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// bodyTimeout bounds reading the body of a request, after its head was read.
const bodyTimeout = 5 * time.Second

func newBody(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }

// readBody reads the complete body, so that the request can be sent again and a caller that stops sending does not occupy a
// backend server. On failure it returns the HTTP status for the caller, otherwise 0. A maxBytes of 0 means no limit.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, int) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, 0
	}
	if maxBytes > 0 && r.ContentLength > maxBytes {
		return nil, http.StatusRequestEntityTooLarge
	}
	if maxBytes > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, maxBytes)
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	var buffer bytes.Buffer
	if r.ContentLength > 0 {
		buffer.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	if _, err := buffer.ReadFrom(r.Body); err != nil {
		if _, isTooLarge := err.(*http.MaxBytesError); isTooLarge {
			return nil, http.StatusRequestEntityTooLarge
		}
		return nil, http.StatusRequestTimeout
	}
	_ = controller.SetReadDeadline(time.Time{})
	return buffer.Bytes(), 0
}
