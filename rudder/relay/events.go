package relay

import (
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// eventReader splits a stream of server-sent events into complete events without changing their bytes. An event ends with
// an empty line (WHATWG HTML, section 9.2).
type eventReader struct {
	source          io.Reader
	requestIDHeader string // that every response has; see findHead
	buffer          []byte
	spare           []byte         // held the events that next returned last; the next rest is copied there
	lineStart       int            // offset in buffer of the first line that findHead has not searched to its end
	possibleHead    int            // offset in buffer at which the head of a response may begin within a line; 0 for none
	memory          *memoryAccount // that buffer counts in; nil for none
	lastID          string         // id of the last complete event that has one
}

// maxEmptyLineBytes is the length of the longest empty line with the end of the line before it.
const maxEmptyLineBytes = len("\r\n\r\n")

// maxEventBytes bounds the buffer of an incomplete event.
const maxEventBytes = 1 << 20

// errHeadWithinStream means that a server has written the head of another response into its event stream.
var errHeadWithinStream = errors.New("head of a response within the event stream")

// maxSpareBytes bounds the buffer that is kept for reuse. Allocating one for each read made many fast streams exceed the memory of
// a small host: the garbage grew faster than it was collected.
const maxSpareBytes = 32 << 10

// next reads from the source once and returns the bytes of all complete events in the buffer, valid until the next call. A nil slice without an error
// means that no event is complete yet. It returns io.ErrShortBuffer if the buffer exceeds maxEventBytes, errBuffersExhausted if
// all buffers exceed their budget, errHeadWithinStream with the events before the head, and io.EOF at the end of the stream;
// remainder then returns the bytes of an incomplete event.
func (r *eventReader) next(chunk []byte) ([]byte, error) {
	n, err := r.source.Read(chunk)
	searchFrom := max(len(r.buffer)-maxEmptyLineBytes, 0) // no event ends before
	r.buffer = append(r.buffer, chunk[:n]...)
	if len(r.buffer) > maxEventBytes {
		return nil, io.ErrShortBuffer
	}
	if head := r.findHead(); head >= 0 {
		r.buffer, err = r.buffer[:head], errHeadWithinStream
	}
	end := 0
	if searchFrom < len(r.buffer) {
		if end = lastEventEnd(r.buffer[searchFrom:]); end > 0 {
			end += searchFrom
		}
	}
	if r.memory != nil {
		if err := r.memory.resize(len(r.buffer) - end); err != nil {
			return nil, err
		}
	}
	if end == 0 {
		return nil, err
	}
	complete := r.buffer[:end:end]
	rest := append(r.spare[:0], r.buffer[end:]...)
	if r.spare = nil; cap(r.buffer) <= maxSpareBytes {
		r.spare = r.buffer[:0]
	}
	r.buffer = rest
	r.lineStart, r.possibleHead = max(r.lineStart-end, 0), max(r.possibleHead-end, 0)
	if id, found := parseLastEventID(complete); found {
		r.lastID = id
	}
	return complete, err
}

// remainder returns the buffered bytes after the last complete event.
func (r *eventReader) remainder() []byte { return r.buffer }

// isWithinEvent reports whether the buffered bytes at the end of the stream are part of an event. A stream whose lines end with
// a carriage return, or in several ways, has complete events that next does not find.
func (r *eventReader) isWithinEvent() bool {
	if len(bytes.Trim(r.buffer, "\r\n")) == 0 {
		return false
	}
	for _, emptyLine := range []string{"\n\n", "\n\r\n", "\r\r", "\r\r\n"} {
		if bytes.HasSuffix(r.buffer, []byte(emptyLine)) {
			return false
		}
	}
	return true
}

// findHead returns the offset in the buffer at which the first head of a response begins, or -1. A line that begins like a status
// line is one, since no line of an event does. Within a line, where a server may write a late copy of an earlier response, the
// header of the request id must follow: the text of an event may speak of status lines. Each line is searched once.
func (r *eventReader) findHead() int {
	const version = "HTTP/1."
	for {
		rest := r.buffer[r.lineStart:]
		if bytes.HasPrefix(rest, []byte(version)) {
			return r.lineStart
		}
		length := bytes.IndexByte(rest, '\n') + 1
		if length == 0 {
			return -1
		}
		line := rest[:length]
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch i := bytes.Index(line, []byte(version)); {
		case i > 0:
			r.possibleHead = r.lineStart + i
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			r.possibleHead = 0 // a head ends with an empty line
		case r.possibleHead > 0 && strings.EqualFold(string(name), r.requestIDHeader):
			return r.possibleHead
		}
		r.lineStart += length
	}
}

// lastEventEnd returns the offset after the last empty line, or 0 if there is none.
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

// firstEventEnd returns the offset after the first empty line, or 0 if there is none.
func firstEventEnd(b []byte) int {
	end := 0
	for _, separator := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(b, []byte(separator)); i >= 0 && (end == 0 || i+len(separator) < end) {
			end = i + len(separator)
		}
	}
	return end
}

// parseLastEventID returns the value of the last id field and whether there is one.
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

// continuation removes the leading events that the caller has, up to the one with id lastID, and those without content. It
// compares ids as numbers; if lastID is not a number, it removes no event with an id. It returns an error for an event whose
// id does not tell that it follows lastID.
func continuation(events []byte, lastID string) ([]byte, error) {
	lastNumber, lastErr := strconv.ParseInt(lastID, 10, 64)
	for len(events) > 0 {
		end := firstEventEnd(events)
		if end == 0 {
			end = len(events) // further line ends after the empty line
		}
		id, found := parseLastEventID(events[:end])
		number, err := strconv.ParseInt(id, 10, 64)
		switch {
		case !found && hasContent(events[:end]), found && lastErr == nil && err != nil:
			return nil, errors.Errorf("event %.40q does not tell that it follows event %.40q", events[:end], lastID)
		case found && (lastErr != nil || number > lastNumber):
			return events, nil
		}
		events = events[end:]
	}
	return nil, nil
}

// hasContent reports whether an event has other lines than comments and reconnection times.
func hasContent(event []byte) bool {
	for line := range bytes.Lines(event) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if isComment := len(name) == 0; !isComment && string(name) != "retry" {
			return true
		}
	}
	return false
}
