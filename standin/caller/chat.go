package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"chestnutrudder.example/rudder/entry"
)

const (
	// streamIdleTimeout is how long a stream may carry nothing; nodes send a comment each 2 s.
	streamIdleTimeout = 5 * time.Second
	// jsonAnswerTimeout is how long a caller with a key waits for a JSON answer before it asks another node for the same run.
	jsonAnswerTimeout = 15 * time.Second
	maxEventBytes     = 1 << 20
)

// Answer is the answer to one model request.
type Answer struct {
	RunID            string
	Tokens           []string
	IsComplete       bool
	TimeToFirstToken time.Duration
	TimeToLastToken  time.Duration // from the start to the last token
	Usage            entry.Usage
	FinishReason     string
	RequestCount     int // requests that it took
	RedirectCount    int // answers 303 and events moved
}

// Request is one model request with a single user message.
type Request struct {
	Model          string
	Content        string
	MaxTokens      int
	IdempotencyKey string // idempotency key, may be empty
	JSON           bool   // one JSON answer instead of a stream
}

// Prompt returns the prompt that the system makes of one user message.
func Prompt(content string) string { return "user: " + content + "\n" }

// Chat sends one user message to the node at address, reads the streamed answer, and goes on at other nodes if that one
// fails.
func (c *Caller) Chat(ctx context.Context, address, model, content string, maxTokens int, idempotencyKey string) (Answer, error) {
	return c.Do(ctx, address, Request{Model: model, Content: content, MaxTokens: maxTokens, IdempotencyKey: idempotencyKey})
}

// exchange is the state of one request over all its tries.
type exchange struct {
	caller    *Caller
	request   Request
	answer    Answer
	startTime time.Time
	addresses *addressIterator
	resumeURL string // URL to read on at, from an answer 303 or an event moved
}

// Do sends a request, first to the node at address, and returns its whole answer or why there is none.
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

// planRetry decides whether and when to try again. A stream is read on by its run; a request with a key is sent again; without
// both it is sent again only if it was not run.
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
		// The run is lost. The request is sent again and its answer read from the start.
		x.answer = Answer{RequestCount: x.answer.RequestCount, RedirectCount: x.answer.RedirectCount}
		return minRetryDelay, x.request.IdempotencyKey != ""
	default:
		return max(problemErr.RetryAfter, minRetryDelay), x.canResume()
	}
}

func (x *exchange) canResume() bool {
	return x.request.IdempotencyKey != "" || (x.answer.RunID != "" && !x.request.JSON)
}

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

// openResponse sends the request, or asks for the rest of the answer.
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
		Messages:  []entry.ChatMessage{{Role: "user", Content: x.request.Content}},
		MaxTokens: x.request.MaxTokens,
		Stream:    !x.request.JSON,
	}
	return x.caller.send(ctx, http.MethodPost, "http://"+x.addresses.next(ctx)+"/v1/chat/completions", body, header)
}

// idleTimeoutReader puts off the end of a silent stream at each read.
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
		return errors.Wrap(err, "decode answer")
	}
	if len(answer.Choices) != 1 {
		return errors.Errorf("answer has %d choices", len(answer.Choices))
	}
	x.answer.RunID = answer.ID
	x.answer.Tokens = strings.Fields(answer.Choices[0].Message.Content)
	x.answer.FinishReason = answer.Choices[0].FinishReason
	x.answer.Usage = answer.Usage
	x.answer.TimeToLastToken = time.Since(x.startTime)
	x.answer.IsComplete = true
	return nil
}

// readStream takes the events of a streamed answer until it is whole, moved or broken.
func (x *exchange) readStream(body io.Reader) error {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return errors.Wrap(err, "answer is cut off")
		}
		if event.Type == "moved" {
			return x.followMoved(event.Data)
		}
		if err := x.handleEvent(event.Type, []byte(event.Data)); err != nil || x.answer.IsComplete {
			return err
		}
	}
	return errors.Wrap(io.ErrUnexpectedEOF, "answer is cut off")
}

func (x *exchange) followMoved(data string) error {
	var moved entry.MovedEvent
	if err := json.Unmarshal([]byte(data), &moved); err != nil {
		return errors.Wrap(err, "decode event moved")
	}
	x.answer.RedirectCount++
	x.resumeURL = (&url.URL{Scheme: "http", Host: moved.Address, Path: "/v1/runs/" + moved.Run}).String()
	return nil
}

// handleEvent takes one event. Tokens count only at the next offset.
func (x *exchange) handleEvent(eventType string, data []byte) error {
	a := &x.answer
	if eventType == "error" {
		problemErr := &ProblemError{}
		if err := json.Unmarshal(data, &problemErr.Problem); err != nil {
			return errors.Wrap(err, "decode problem")
		}
		problemErr.RetryAfter = time.Duration(problemErr.RetryAfterSeconds) * time.Second
		if problemErr.Run == "no" {
			a.RunID = ""
		}
		return problemErr
	}
	var delta entry.ChatDelta
	if err := json.Unmarshal(data, &delta); err != nil {
		return errors.Wrap(err, "decode event")
	}
	if a.RunID != "" && delta.ID != a.RunID {
		return errors.Errorf("event of run %q, expected %q", delta.ID, a.RunID)
	}
	a.RunID = delta.ID
	if delta.Offset != len(a.Tokens) {
		return errors.Errorf("event at offset %d, expected %d", delta.Offset, len(a.Tokens))
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
