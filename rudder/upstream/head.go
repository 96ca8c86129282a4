package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// ErrMalformedResponse means that a response has a head that no sound server sends, so that nothing in it can be relied on, a
// statement that the request has not run included.
var ErrMalformedResponse = errors.New("response is malformed")

// Bounds of a status code (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns an error that wraps ErrMalformedResponse if the head of a response is not that of an HTTP/1 response to a
// request that asks for no other protocol. net/http accepts any status of three characters that is a number of 0 or more, and
// any version; its server panics when it is to send a status below 100.
func CheckHead(response *http.Response) error {
	status := response.StatusCode
	switch {
	case response.ProtoMajor != 1:
		return errors.Wrapf(ErrMalformedResponse, "version %.20q, want HTTP/1", response.Proto)
	case status < minStatus || status > maxStatus:
		return errors.Wrapf(ErrMalformedResponse, "status %d, want %d to %d", status, minStatus, maxStatus)
	case status == http.StatusSwitchingProtocols:
		return errors.Wrapf(ErrMalformedResponse, "status %d to a request without an upgrade", status)
	case (status < http.StatusOK || status == http.StatusNoContent) && declaresBody(response):
		return errors.Wrapf(ErrMalformedResponse, "status %d with a body", status)
	}
	return nil
}

// declaresBody reports whether the headers of a response tell of a body. net/http ignores them for a status that has none.
func declaresBody(response *http.Response) bool {
	length := response.Header.Get("Content-Length")
	return length != "" && length != "0" || len(response.TransferEncoding) > 0
}

// checkOldFraming waits for the head of a response and returns an error if it has version 1.0 and a transfer encoding, which makes
// its framing faulty (RFC 9112, section 6.1). http.ReadResponse drops that header, so that the caller would get the framing of the
// chunks as a part of the body. In a head that exceeds the read buffer only the beginning is searched.
func (c *Conn) checkOldFraming() error {
	const oldVersion = "HTTP/1.0 "
	head, err := c.reader.Peek(len(oldVersion))
	for err == nil && string(head[:len(oldVersion)]) == oldVersion {
		end := headEnd(head)
		if end < 0 && len(head) == c.reader.Size() {
			end = len(head)
		}
		if end >= 0 {
			if bytes.Contains(bytes.ToLower(head[:end]), []byte("\ntransfer-encoding:")) {
				return errors.Wrap(ErrMalformedResponse, "version 1.0 with a transfer encoding")
			}
			return nil
		}
		head, err = c.reader.Peek(max(len(head)+1, c.reader.Buffered()))
	}
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// headEnd returns the offset of the empty line that ends a head, or -1. Lines may end without a carriage return.
func headEnd(b []byte) int {
	end := bytes.Index(b, []byte("\n\n"))
	if i := bytes.Index(b, []byte("\n\r\n")); i >= 0 && (end < 0 || i < end) {
		end = i
	}
	return end
}

// checkUnread returns an error if the bytes that follow a head are neither its body nor absent: the body of a response whose
// status has none, or another head in place of an empty body. Bytes that arrive later end the connection; see isUsable.
func (c *Conn) checkUnread(response *http.Response) error {
	if response.Body != http.NoBody || c.reader.Buffered() == 0 {
		return nil
	}
	if status := response.StatusCode; status == http.StatusNoContent || status == http.StatusNotModified {
		return errors.Wrapf(ErrMalformedResponse, "status %d with a body", status)
	}
	if next, _ := c.reader.Peek(min(c.reader.Buffered(), statusLineBytes)); isStatusLine(next) {
		return errSecondHead
	}
	return nil
}

// errSecondHead means that a head is followed by another one in place of its body.
var errSecondHead = errors.Wrap(ErrMalformedResponse, "head followed by another head")

// statusLineForm is the beginning of the status line of an HTTP/1 response, with 0 for any digit.
const (
	statusLineForm  = "HTTP/1.0 000"
	statusLineBytes = len(statusLineForm)
)

// CheckBodyStart returns an error that wraps ErrMalformedResponse if a body begins with the head of a response, unless its type
// is that of HTTP messages (RFC 9112, section 10).
func CheckBodyStart(header http.Header, body []byte) error {
	if isStatusLine(body) && !hasMessages(header) {
		return errSecondHead
	}
	return nil
}

func hasMessages(header http.Header) bool {
	contentType, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	contentType = strings.ToLower(strings.TrimSpace(contentType))
	return contentType == "message/http" || contentType == "application/http"
}

// isStatusLine reports whether bytes begin with a status line.
func isStatusLine(b []byte) bool { return len(b) >= statusLineBytes && mayBeStatusLine(b) }

// mayBeStatusLine reports whether bytes, of which more may follow, can be the beginning of a status line.
func mayBeStatusLine(b []byte) bool {
	for i := range min(len(b), statusLineBytes) {
		isDigit := b[i] >= '0' && b[i] <= '9'
		if want := statusLineForm[i]; b[i] != want && !(want == '0' && isDigit) {
			return false
		}
	}
	return true
}

// bodyStart reads a body and fails with errSecondHead if the body begins with another head. What it returned before is no more
// than a part of a status line. A body that is shorter than that is compared together with what has arrived after it.
type bodyStart struct {
	io.ReadCloser
	reader    *bufio.Reader // of the connection
	start     []byte
	isChecked bool
}

func (r *bodyStart) Read(b []byte) (int, error) {
	n, err := r.ReadCloser.Read(b)
	if r.isChecked {
		return n, err
	}
	r.start = append(r.start, b[:min(n, statusLineBytes-len(r.start))]...)
	if err == io.EOF && len(r.start) > 0 {
		next, _ := r.reader.Peek(min(r.reader.Buffered(), statusLineBytes-len(r.start)))
		r.start = append(r.start, next...)
	}
	if isStatusLine(r.start) {
		return 0, errSecondHead
	}
	r.isChecked = !mayBeStatusLine(r.start) || err != nil
	return n, err
}
