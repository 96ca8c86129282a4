package relay

import (
	"bytes"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// errHeadWithinBody means that a server has written the head of another response into a body without a length.
var errHeadWithinBody = errors.New("head of a response within the body of another one")

// maxSearchedLineBytes bounds the part of an unfinished line that is kept for the search. Only its end is kept of a longer one.
const maxSearchedLineBytes = 4 << 10

// headSearcher reads a body without a length, in which a late copy of an earlier response has no mark but its own head: a status line,
// at any place of a line, and the header of the request id, which each response has, before the next empty line. Read fails when it has
// read such a head.
type headSearcher struct {
	io.ReadCloser
	requestIDHeader string
	line            []byte // begins with the first line that has not ended
	isWithinHead    bool   // a status line came and no empty line since
}

func (s *headSearcher) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if s.search(p[:n]) {
		return 0, errHeadWithinBody
	}
	return n, err
}

// search reports whether a head ends in the bytes, which follow those of the last call.
func (s *headSearcher) search(b []byte) bool {
	s.line = append(s.line, b...)
	for {
		line, rest, hasEnded := bytes.Cut(s.line, []byte("\n"))
		if !hasEnded {
			break
		}
		if s.searchLine(line) {
			return true
		}
		s.line = rest
	}
	if len(s.line) > maxSearchedLineBytes {
		s.isWithinHead = s.isWithinHead || hasStatusLine(s.line)
		s.line = s.line[len(s.line)-maxSearchedLineBytes:]
	}
	s.line = append([]byte(nil), s.line...) // frees what was searched
	return false
}

func (s *headSearcher) searchLine(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	switch {
	case len(bytes.TrimRight(line, "\r")) == 0:
		s.isWithinHead = false
	case s.isWithinHead && strings.EqualFold(string(name), s.requestIDHeader):
		return true
	case hasStatusLine(line):
		s.isWithinHead = true
	}
	return false
}

func hasStatusLine(line []byte) bool { return bytes.Contains(line, []byte("HTTP/1.")) }
