// Package outcome names the three ways in which a request can end and carries them in errors. Every package on the
// request path uses it, so that "not run" is never guessed.
package outcome

import (
	"errors"
	"fmt"
	"time"
)

// Outcome says what is known about the effect of a request.
type Outcome int

const (
	// Unknown means that the request may or may not have been run. It is the zero value, so that a forgotten
	// assignment never claims too much.
	Unknown Outcome = iota
	// Done means that the request was run and its whole answer is known.
	Done
	// NotRun means that nothing was sent, or that the backend server refused before running.
	NotRun
)

// String returns the value used in problem documents: "no" for NotRun, "yes" for Done.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "yes"
	case NotRun:
		return "no"
	default:
		return "unknown"
	}
}

// Error is a failed request with what is known about its effect.
type Error struct {
	Outcome    Outcome
	Status     int           // HTTP status for the caller
	Reason     string        // one short sentence
	RetryAfter time.Duration // 0 if a retry does not help
	Cause      error
}

// Error returns the reason, whether the request was run, and the cause.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s (run: %s): %v", e.Reason, e.Outcome, e.Cause)
	}
	return fmt.Sprintf("%s (run: %s)", e.Reason, e.Outcome)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// NotRunErrorf returns an error for a request that was not run.
func NotRunErrorf(status int, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{Outcome: NotRun, Status: status, Reason: fmt.Sprintf(format, args...), RetryAfter: retryAfter}
}

// UnknownErrorf returns an error for a request of which it is unknown whether it was run.
func UnknownErrorf(status int, cause error, format string, args ...any) *Error {
	return &Error{Outcome: Unknown, Status: status, Reason: fmt.Sprintf(format, args...), Cause: cause}
}

// Of returns the outcome that err states, and Unknown if it states none.
func Of(err error) Outcome {
	var e *Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return Unknown
}
