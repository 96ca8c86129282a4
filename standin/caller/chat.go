package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"chestnutrudder.example/rudder/entry"
)

const (
	// streamIdleTimeout is how long a stream may carry no data; nodes send a comment every 2 s.
	streamIdleTimeout = 5 * time.Second
	// jsonAnswerTimeout is how long a request with an idempotency key waits for a JSON answer before it asks another node for
	// the same run.
	jsonAnswerTimeout = 15 * time.Second
	maxEventBytes     = 1 << 20
)

// Answer is the answer to one model request, or the part of it that was received. Times are since the start of the request.
type Answer struct {
	RunID            string
	Tokens           []string
	IsComplete       bool          // whether the end of the answer was received
	TimeToFirstToken time.Duration // 0 for a JSON answer
	TimeToLastToken  time.Duration
	Usage            entry.Usage
	FinishReason     string
	RequestCount     int // HTTP requests sent, including those that follow a redirect
	RedirectCount    int // responses with status 303 and moved events
}

// Request is one model request with a user message, which may follow others.
type Request struct {
	Model          string
	Earlier        []entry.ChatMessage // the conversation so far; may be empty
	Content        string
	MaxTokens      int
	IdempotencyKey string // may be empty
	JSON           bool   // one JSON answer instead of a stream
}

// Prompt returns the prompt that the system builds from a single user message.
func Prompt(content string) string { return "user: " + content + "\n" }

// Chat sends one user message to the node at address and reads the streamed answer; if that node fails, it continues at
// other nodes. It returns what Do returns.
func (c *Caller) Chat(ctx context.Context, address, model, content string, maxTokens int, idempotencyKey string) (Answer, error) {
	return c.Do(ctx, address, Request{Model: model, Content: content, MaxTokens: maxTokens, IdempotencyKey: idempotencyKey})
}

// exchange is the state of one model request across its attempts.
type exchange struct {
	caller    *Caller
	request   Request
	answer    Answer
	startTime time.Time
	addresses *addressIterator
	resumeURL string // URL for the rest of the answer, from a 303 response or a moved event
}

// Do sends a request, first to the node at address, and returns its complete answer. It retries and resumes as long as this
// cannot run the request twice and a new token arrived within retryTimeout. Otherwise it returns the part of the answer that
// was received, and the error of ctx or of the last attempt, such as a *ProblemError.
func (c *Caller) Do(ctx context.Context, address string, request Request) (Answer, error) {
	x := &exchange{caller: c, request: request, startTime: time.Now(), addresses: &addressIterator{caller: c, preferred: address}}
	lastProgress, tokenCount := time.Now(), 0
	for {
		err := x.attempt(ctx)
		if err == nil && x.answer.IsComplete {
			return x.answer, nil
		}
		if ctx.Err() != nil {
			return x.answer, ctx.Err()
		}
		if len(x.answer.Tokens) != tokenCount {
			lastProgress, tokenCount = time.Now(), len(x.answer.Tokens)
		}
		delay, canRetry := x.planRetry(err)
		if !canRetry || time.Since(lastProgress) > retryTimeout {
			return x.answer, err
		}
		if err := sleep(ctx, delay); err != nil {
			return x.answer, err
		}
	}
}

// planRetry decides whether and after what delay to try again. A stream whose run is known is resumed; a request with an
// idempotency key is sent again; any other request is sent again only if it was not run.
func (x *exchange) planRetry(err error) (time.Duration, bool) {
	if err == nil {
		return 0, true // redirected
	}
	if delay, canRetry := x.caller.retryDelay(err); canRetry {
		return delay, true
	}
	var problemErr *ProblemError
	if !errors.As(err, &problemErr) {
		return minRetryDelay, x.canResume()
	}
	switch {
	case problemErr.Run != "unknown":
		return 0, false
	case problemErr.Status == http.StatusNotFound && x.answer.RunID != "":
		// The run no longer exists. With an idempotency key the request is sent again and its answer is read from the
		// start.
		x.answer = Answer{RequestCount: x.answer.RequestCount, RedirectCount: x.answer.RedirectCount}
		return minRetryDelay, x.request.IdempotencyKey != ""
	default:
		return max(problemErr.RetryAfter, minRetryDelay), x.canResume()
	}
}

// canResume reports whether another attempt can continue the same run.
func (x *exchange) canResume() bool {
	return x.request.IdempotencyKey != "" || (x.answer.RunID != "" && !x.request.JSON)
}

// attempt sends one HTTP request and reads the answer. It returns nil after a redirect, which leaves the answer incomplete.
// A streamed answer, or a JSON one with an idempotency key, is abandoned when its timeout passes.
func (x *exchange) attempt(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := streamIdleTimeout
	if x.request.JSON {
		timeout = jsonAnswerTimeout
	}
	var idleTimer *time.Timer
	if !x.request.JSON || x.request.IdempotencyKey != "" {
		idleTimer = time.AfterFunc(timeout, cancel)
		defer idleTimer.Stop()
	}
	x.answer.RequestCount++
	response, err := x.openResponse(ctx)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if runID := response.Header.Get("X-Run"); runID != "" && len(x.answer.Tokens) == 0 {
		x.answer.RunID = runID
	}
	if response.StatusCode == http.StatusSeeOther {
		x.answer.RedirectCount++
		x.resumeURL = response.Header.Get("Location")
		return nil
	}
	if x.request.JSON {
		return x.readJSON(response.Body)
	}
	return x.readStream(&idleTimeoutReader{response.Body, idleTimer})
}

// openResponse sends the request, or requests the rest of the answer from the URL of a redirect. For a stream whose run is
// known, Last-Event-ID names the run and the next token.
func (x *exchange) openResponse(ctx context.Context) (*http.Response, error) {
	header := http.Header{}
	if x.request.JSON {
		header.Set("Accept", "application/json")
	}
	if x.answer.RunID != "" && !x.request.JSON {
		header.Set("Last-Event-ID", fmt.Sprintf("%s/%d", x.answer.RunID, len(x.answer.Tokens)))
	}
	if target := x.resumeURL; target != "" {
		x.resumeURL = ""
		return x.caller.send(ctx, http.MethodGet, target, nil, header)
	}
	if x.request.IdempotencyKey != "" {
		header.Set("Idempotency-Key", x.request.IdempotencyKey)
	}
	body := entry.ChatRequest{
		Model:     x.request.Model,
		Messages:  append(slices.Clone(x.request.Earlier), entry.ChatMessage{Role: "user", Content: x.request.Content}),
		MaxTokens: x.request.MaxTokens,
		Stream:    !x.request.JSON,
	}
	return x.caller.send(ctx, http.MethodPost, "http://"+x.addresses.next(ctx)+"/v1/chat/completions", body, header)
}

// idleTimeoutReader resets the idle timer of a stream after each read.
type idleTimeoutReader struct {
	io.Reader
	idleTimer *time.Timer
}

func (r *idleTimeoutReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.idleTimer.Reset(streamIdleTimeout)
	return n, err
}

func (x *exchange) readJSON(body io.Reader) error {
	var answer entry.ChatResponse
	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		return errors.Wrap(err, "decode JSON answer")
	}
	if len(answer.Choices) != 1 {
		return errors.Errorf("decode JSON answer: %d choices, expected 1", len(answer.Choices))
	}
	x.answer.RunID = answer.ID
	x.answer.Tokens = strings.Fields(answer.Choices[0].Message.Content)
	x.answer.FinishReason = answer.Choices[0].FinishReason
	x.answer.Usage = answer.Usage
	x.answer.TimeToLastToken = time.Since(x.startTime)
	x.answer.IsComplete = true
	return nil
}

// readStream handles the events of a streamed answer until the answer is complete, has moved to another node or fails.
func (x *exchange) readStream(body io.Reader) error {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return errors.Wrap(err, "read streamed answer")
		}
		if event.Type == "moved" {
			return x.followMoved(event.Data)
		}
		if err := x.handleEvent(event.Type, []byte(event.Data)); err != nil || x.answer.IsComplete {
			return err
		}
	}
	return errors.Wrap(io.ErrUnexpectedEOF, "read streamed answer")
}

// followMoved sets the URL of the next attempt from a moved event.
func (x *exchange) followMoved(data string) error {
	var moved entry.MovedEvent
	if err := json.Unmarshal([]byte(data), &moved); err != nil {
		return errors.Wrap(err, "decode moved event")
	}
	x.answer.RedirectCount++
	x.resumeURL = (&url.URL{Scheme: "http", Host: moved.Address, Path: "/v1/runs/" + moved.Run}).String()
	return nil
}

// handleEvent adds one event to the answer. An error event is returned as a *ProblemError. An event of another run, or one
// that does not start at the next token, is an error.
func (x *exchange) handleEvent(eventType string, data []byte) error {
	a := &x.answer
	if eventType == "error" {
		problemErr := &ProblemError{}
		if err := json.Unmarshal(data, &problemErr.Problem); err != nil {
			return errors.Wrap(err, "decode error event")
		}
		problemErr.RetryAfter = time.Duration(problemErr.RetryAfterSeconds) * time.Second
		if problemErr.Run == "no" {
			a.RunID = ""
		}
		return problemErr
	}
	var delta entry.ChatDelta
	if err := json.Unmarshal(data, &delta); err != nil {
		return errors.Wrap(err, "decode answer event")
	}
	if a.RunID != "" && delta.ID != a.RunID {
		return errors.Errorf("answer event belongs to run %q, expected %q", delta.ID, a.RunID)
	}
	a.RunID = delta.ID
	if delta.Offset != len(a.Tokens) {
		return errors.Errorf("answer event has offset %d, expected %d", delta.Offset, len(a.Tokens))
	}
	if len(delta.Tokens) > 0 {
		a.TimeToLastToken = time.Since(x.startTime)
		if len(a.Tokens) == 0 {
			a.TimeToFirstToken = a.TimeToLastToken
		}
		a.Tokens = append(a.Tokens, delta.Tokens...)
	}
	if eventType == "end" {
		a.IsComplete = true
		a.FinishReason = delta.FinishReason
		if delta.Usage != nil {
			a.Usage = *delta.Usage
		}
	}
	return nil
}
