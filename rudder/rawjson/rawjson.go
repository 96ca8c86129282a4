// Package rawjson splits a JSON object or array into its parts without decoding them. It lets a client read the other parts
// of a document of which one cannot be decoded: encoding/json fails for the whole document if a part is not JSON or is
// nested too deeply.
package rawjson

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// Fields returns the values of the fields of a JSON object by name; of duplicate names the last one counts. The values may
// be malformed as long as their strings and brackets are closed.
func Fields(object []byte) (map[string]json.RawMessage, error) {
	s := &scanner{data: object}
	if !s.accept('{') {
		return nil, errors.Errorf("%.40q is not a JSON object", object)
	}
	fields := map[string]json.RawMessage{}
	for !s.accept('}') {
		name := s.value()
		isField := s.accept(':')
		value := s.value()
		var key string
		if !isField || len(value) == 0 || json.Unmarshal(name, &key) != nil {
			return nil, errors.Errorf("JSON object is malformed at offset %d", s.offset)
		}
		fields[key] = value
		if !s.accept(',') && !s.isNext('}') {
			return nil, errors.Errorf("JSON object is malformed at offset %d", s.offset)
		}
	}
	return fields, nil
}

// Elements returns the elements of a JSON array. They may be malformed as long as their strings and brackets are closed.
func Elements(array []byte) ([]json.RawMessage, error) {
	s := &scanner{data: array}
	if !s.accept('[') {
		return nil, errors.Errorf("%.40q is not a JSON array", array)
	}
	var elements []json.RawMessage
	for !s.accept(']') {
		value := s.value()
		if len(value) == 0 || !s.accept(',') && !s.isNext(']') {
			return nil, errors.Errorf("JSON array is malformed at offset %d", s.offset)
		}
		elements = append(elements, value)
	}
	return elements, nil
}

// SplitList returns the fields of a JSON object and the elements of the list in one of them, which may be absent or null.
func SplitList(object []byte, list string) (fields map[string]json.RawMessage, elements []json.RawMessage, err error) {
	if fields, err = Fields(object); err != nil {
		return nil, nil, err
	}
	if value, found := fields[list]; found && string(value) != "null" {
		elements, err = Elements(value)
	}
	return fields, elements, errors.Wrapf(err, "%s", list)
}

// DecodeField decodes a field into out, which keeps its value if the field is absent.
func DecodeField(fields map[string]json.RawMessage, name string, out any) error {
	value, found := fields[name]
	if !found {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(value, out), "%s", name)
}

// scanner reads a document from its start.
type scanner struct {
	data   []byte
	offset int
}

// isNext reports whether the next byte after white space is c.
func (s *scanner) isNext(c byte) bool {
	rest := bytes.TrimLeft(s.data[s.offset:], " \t\r\n")
	s.offset = len(s.data) - len(rest)
	return len(rest) > 0 && rest[0] == c
}

// accept skips the next byte after white space if it is c, and reports whether it was.
func (s *scanner) accept(c byte) bool {
	if !s.isNext(c) {
		return false
	}
	s.offset++
	return true
}

// value skips the next value and returns it without white space around it. It is empty if there is none or its strings or
// brackets are not closed.
func (s *scanner) value() json.RawMessage {
	start, depth := s.offset, 0
	for ; s.offset < len(s.data); s.offset++ {
		switch c := s.data[s.offset]; c {
		case '"':
			s.offset = s.stringEnd()
		case '{', '[':
			depth++
		case '}', ']', ',', ':':
			if depth == 0 {
				return bytes.TrimSpace(s.data[start:s.offset])
			}
			if c == '}' || c == ']' {
				depth--
			}
		}
	}
	s.offset = len(s.data)
	return nil
}

// stringEnd returns the offset of the quotation mark that closes the string at the current offset, or the last offset.
func (s *scanner) stringEnd() int {
	for i := s.offset + 1; i < len(s.data); i++ {
		switch s.data[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(s.data) - 1
}
