package relay

import (
	"bytes"
	"io"
)

// eventReader splits a server-sent event stream into whole events without changing their bytes. Events end with an
// empty line (WHATWG HTML, section 9.2).
type eventReader struct {
	source io.Reader
	buffer []byte
	lastID string // id of the last whole event
}

// maxEventBytes bounds the memory of one unfinished event.
const maxEventBytes = 1 << 20

// next reads once and returns the bytes of all whole events that are there now. A nil slice without an error means that
// more is needed. At the end of the stream, left-over bytes are returned by rest.
func (r *eventReader) next(chunk []byte) ([]byte, error) {
	n, err := r.source.Read(chunk)
	r.buffer = append(r.buffer, chunk[:n]...)
	if len(r.buffer) > maxEventBytes {
		return nil, io.ErrShortBuffer
	}
	end := lastEventEnd(r.buffer)
	if end == 0 {
		return nil, err
	}
	complete := r.buffer[:end:end]
	r.buffer = append([]byte(nil), r.buffer[end:]...)
	if id, found := parseLastEventID(complete); found {
		r.lastID = id
	}
	return complete, err
}

// remainder returns the bytes after the last whole event.
func (r *eventReader) remainder() []byte { return r.buffer }

// lastEventEnd returns the position after the last empty line.
func lastEventEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// parseLastEventID returns the value of the last id field.
func parseLastEventID(events []byte) (string, bool) {
	id, found := "", false
	for line := range bytes.Lines(events) {
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if string(name) == "id" {
			id, found = string(bytes.TrimPrefix(value, []byte(" "))), true
		}
	}
	return id, found
}
