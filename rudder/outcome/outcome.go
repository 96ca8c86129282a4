// Package outcome defines what is known about whether a request was run, and an error type that carries it. Every
// package on the request path uses it, so that "not run" is reported only if it is certain.
package outcome

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome tells whether a request was run.
type Outcome int

const (
	// Unknown means that the request may or may not have been run. It is the zero value, so that a missing
	// assignment never claims more than is known.
	Unknown Outcome = iota
	// Done means that the request was run and its complete response is known.
	Done
	// NotRun means that nothing was sent, or that the backend server refused the request before running it.
	NotRun
)

// String returns the value used in problem documents: "yes" for Done, "no" for NotRun, "unknown" otherwise.
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

// ImpliesNotRun reports whether callers conclude from a status that the request has not run and will not run, so that they may
// send it again even if it must run once only.
func ImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// CallerStatus returns the status for the caller of a request with this outcome: the given one, or 502 if callers would conclude
// from it that the request has not run, which is not known.
func (o Outcome) CallerStatus(status int) int {
	if o != NotRun && ImpliesNotRun(status) {
		return http.StatusBadGateway
	}
	return status
}

// Error describes the failure of a request and whether the request was run.
type Error struct {
	Outcome    Outcome
	Status     int           // HTTP status for the caller
	Reason     string        // one short sentence
	RetryAfter time.Duration // delay for the caller's next attempt; 0 if retrying does not help
	Cause      error         // may be nil
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

// NotRunErrorf returns an error for a request that was not run. The format and its arguments make the reason; retryAfter is
// 0 if retrying does not help.
func NotRunErrorf(status int, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{Outcome: NotRun, Status: status, Reason: fmt.Sprintf(format, args...), RetryAfter: retryAfter}
}

// UnknownErrorf returns an error for a request that may or may not have been run. The format and its arguments make the
// reason; cause may be nil.
func UnknownErrorf(status int, cause error, format string, args ...any) *Error {
	return &Error{Outcome: Unknown, Status: status, Reason: fmt.Sprintf(format, args...), Cause: cause}
}

// Of returns the outcome of the first Error in the chain of err, or Unknown if there is none.
func Of(err error) Outcome {
	var e *Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return Unknown
}
