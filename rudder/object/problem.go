package object

import (
	"fmt"
	"strings"
)

// Problem is one mistake in one object.
type Problem struct {
	Object  string `json:"object"` // Kind/name
	Field   string `json:"field"`  // path as in the file, such as deployment.target.firstTokenMilliseconds
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: value %s, allowed: %s", p.Object, p.Field, p.Value, p.Allowed)
}

// Problems is an error that lists every mistake.
type Problems []Problem

// Error implements error, one line for each mistake.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// maxFormattedBytes bounds the part of a wrong value that an error repeats.
const maxFormattedBytes = 120

func formatValue(value any) string {
	text := fmt.Sprintf("%v", value)
	if s, isString := value.(string); isString {
		text = fmt.Sprintf("%q", s)
	}
	if len(text) > maxFormattedBytes {
		text = text[:maxFormattedBytes] + "..."
	}
	return text
}
