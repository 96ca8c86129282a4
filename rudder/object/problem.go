package object

import (
	"fmt"
	"strings"
)

// Problem is one validation error in one object.
type Problem struct {
	Object  string `json:"object"`  // Kind/name
	Field   string `json:"field"`   // path in the document, such as deployment.target.firstTokenMilliseconds
	Value   string `json:"value"`   // value found, shortened
	Allowed string `json:"allowed"` // description of the allowed values
}

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: value %s, allowed: %s", p.Object, p.Field, p.Value, p.Allowed)
}

// Problems is an error that lists all validation errors.
type Problems []Problem

// Error implements error. It returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none. A Problems value that is converted to error is never nil.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// maxFormattedBytes limits how much of an invalid value is quoted in a problem.
const maxFormattedBytes = 120

// formatValue returns a value as it is quoted in a problem.
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
