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
	// silenceTimeout is how long a stream may carry nothing; nodes send a comment each 2 s.
	silenceTimeout = 5 * time.Second
	// answerTimeout is how long a caller with a key waits for a JSON answer before it asks another node for the same run.
	answerTimeout = 15 * time.Second
	maxEventBytes = 1 << 20
)

// Answer is the answer to one model request.
type Answer struct {
	Run          string
	Tokens       []string
	Whole        bool
	FirstToken   time.Duration
	LastToken    time.Duration // from the start to the last token
	Usage        entry.Usage
	FinishReason string
	Sent         int // requests that it took
	Redirects    int // answers 303 and events moved
}

// Request is one model request with a single user message.
type Request struct {
	Model     string
	Content   string
	MaxTokens int
	Key       string // idempotency key, may be empty
	JSON      bool   // one JSON answer instead of a stream
}

// Prompt returns the prompt that the system makes of one user message.
func Prompt(content string) string { return "user: " + content + "\n" }

// Chat sends one user message to the node at address, reads the streamed answer, and goes on at other nodes if that one
// fails.
func (c *Caller) Chat(ctx context.Context, address, model, content string, maxTokens int, key string) (Answer, error) {
	return c.Ask(ctx, address, Request{Model: model, Content: content, MaxTokens: maxTokens, Key: key})
}

// exchange is the state of one request over all its tries.
type exchange struct {
	caller    *Caller
	request   Request
	answer    Answer
	started   time.Time
	addresses *addressList
	location  string // URL to read on at, from an answer 303 or an event moved
}

// Ask sends a request, first to the node at address, and returns its whole answer or why there is none.
func (c *Caller) Ask(ctx context.Context, address string, request Request) (Answer, error) {
	x := &exchange{caller: c, request: request, started: time.Now(), addresses: &addressList{caller: c, first: address}}
	lastProgress, before := time.Now(), 0
	for {
		err := x.try(ctx)
		if err == nil && x.answer.Whole {
			return x.answer, nil
		}
		if ctx.Err() != nil {
			return x.answer, ctx.Err()
		}
		if len(x.answer.Tokens) != before {
			lastProgress, before = time.Now(), len(x.answer.Tokens)
		}
		wait, again := x.plan(err)
		if !again || time.Since(lastProgress) > retryFor {
			return x.answer, err
		}
		if err := pause(ctx, wait); err != nil {
			return x.answer, err
		}
	}
}

// plan decides whether and when to try again. A stream is read on by its run; a request with a key is sent again; without
// both it is sent again only if it was not run.
func (x *exchange) plan(err error) (time.Duration, bool) {
	if err == nil {
		return 0, true // redirected
	}
	if wait, again := x.caller.mayRepeat(err); again {
		return wait, true
	}
	var failure *Failure
	if !errors.As(err, &failure) {
		return shortestWait, x.canReturn()
	}
	switch {
	case failure.Run != "unknown":
		return 0, false
	case failure.Status == http.StatusNotFound && x.answer.Run != "":
		// The run is lost. The request is sent again and its answer read from the start.
		x.answer = Answer{Sent: x.answer.Sent, Redirects: x.answer.Redirects}
		return shortestWait, x.request.Key != ""
	default:
		return max(failure.RetryAfter, shortestWait), x.canReturn()
	}
}

func (x *exchange) canReturn() bool {
	return x.request.Key != "" || (x.answer.Run != "" && !x.request.JSON)
}

func (x *exchange) try(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limit := silenceTimeout
	if x.request.JSON {
		limit = answerTimeout
	}
	var silence *time.Timer
	if !x.request.JSON || x.request.Key != "" {
		silence = time.AfterFunc(limit, cancel)
		defer silence.Stop()
	}
	x.answer.Sent++
	reply, err := x.open(ctx)
	if err != nil {
		return err
	}
	defer reply.Body.Close()
	if run := reply.Header.Get("X-Run"); run != "" && len(x.answer.Tokens) == 0 {
		x.answer.Run = run
	}
	if reply.StatusCode == http.StatusSeeOther {
		x.answer.Redirects++
		x.location = reply.Header.Get("Location")
		return nil
	}
	if x.request.JSON {
		return x.readJSON(reply.Body)
	}
	return x.readStream(&watchedReader{reply.Body, silence})
}

// open sends the request, or asks for the rest of the answer.
func (x *exchange) open(ctx context.Context) (*http.Response, error) {
	header := http.Header{}
	if x.request.JSON {
		header.Set("Accept", "application/json")
	}
	if x.answer.Run != "" && !x.request.JSON {
		header.Set("Last-Event-ID", fmt.Sprintf("%s/%d", x.answer.Run, len(x.answer.Tokens)))
	}
	if target := x.location; target != "" {
		x.location = ""
		return x.caller.send(ctx, http.MethodGet, target, nil, header)
	}
	if x.request.Key != "" {
		header.Set("Idempotency-Key", x.request.Key)
	}
	body := entry.ChatRequest{
		Model:     x.request.Model,
		Messages:  []entry.ChatMessage{{Role: "user", Content: x.request.Content}},
		MaxTokens: x.request.MaxTokens,
		Stream:    !x.request.JSON,
	}
	return x.caller.send(ctx, http.MethodPost, "http://"+x.addresses.next(ctx)+"/v1/chat/completions", body, header)
}

// watchedReader puts off the end of a silent stream at each read.
type watchedReader struct {
	io.Reader
	silence *time.Timer
}

func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.silence.Reset(silenceTimeout)
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
	x.answer.Run = answer.ID
	x.answer.Tokens = strings.Fields(answer.Choices[0].Message.Content)
	x.answer.FinishReason = answer.Choices[0].FinishReason
	x.answer.Usage = answer.Usage
	x.answer.LastToken = time.Since(x.started)
	x.answer.Whole = true
	return nil
}

// readStream takes the events of a streamed answer until it is whole, moved or broken.
func (x *exchange) readStream(body io.Reader) error {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return errors.Wrap(err, "answer is cut off")
		}
		if event.Type == "moved" {
			return x.follow(event.Data)
		}
		if err := x.take(event.Type, []byte(event.Data)); err != nil || x.answer.Whole {
			return err
		}
	}
	return errors.Wrap(io.ErrUnexpectedEOF, "answer is cut off")
}

func (x *exchange) follow(data string) error {
	var moved entry.MovedEvent
	if err := json.Unmarshal([]byte(data), &moved); err != nil {
		return errors.Wrap(err, "decode event moved")
	}
	x.answer.Redirects++
	x.location = (&url.URL{Scheme: "http", Host: moved.Address, Path: "/v1/runs/" + moved.Run}).String()
	return nil
}

// take takes one event. Tokens count only at the next offset.
func (x *exchange) take(event string, data []byte) error {
	a := &x.answer
	if event == "error" {
		failure := &Failure{}
		if err := json.Unmarshal(data, &failure.Problem); err != nil {
			return errors.Wrap(err, "decode problem")
		}
		failure.RetryAfter = time.Duration(failure.RetryAfterSeconds) * time.Second
		if failure.Run == "no" {
			a.Run = ""
		}
		return failure
	}
	var delta entry.ChatDelta
	if err := json.Unmarshal(data, &delta); err != nil {
		return errors.Wrap(err, "decode event")
	}
	if a.Run != "" && delta.ID != a.Run {
		return errors.Errorf("event of run %q, expected %q", delta.ID, a.Run)
	}
	a.Run = delta.ID
	if delta.Offset != len(a.Tokens) {
		return errors.Errorf("event at offset %d, expected %d", delta.Offset, len(a.Tokens))
	}
	if len(delta.Tokens) > 0 {
		a.LastToken = time.Since(x.started)
		if len(a.Tokens) == 0 {
			a.FirstToken = a.LastToken
		}
		a.Tokens = append(a.Tokens, delta.Tokens...)
	}
	if event == "end" {
		a.Whole = true
		a.FinishReason = delta.FinishReason
		if delta.Usage != nil {
			a.Usage = *delta.Usage
		}
	}
	return nil
}
