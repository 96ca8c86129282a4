// Package caller is a caller of the system as an application would write it: it asks for addresses, keeps them for a
// while, sends requests and resumes broken answers. The demo, the load tool and the integration tests use it.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/entry"
)

// Caller belongs to one organisation.
type Caller struct {
	Token string   // bearer token
	Nodes []string // IP:port of nodes to ask first
	HTTP  *http.Client
}

// New returns a caller.
func New(token string, nodes ...string) *Caller {
	return &Caller{Token: token, Nodes: nodes, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Answer is the answer to one model request.
type Answer struct {
	Run          string
	Tokens       []string
	Whole        bool
	FirstToken   time.Duration
	LastToken    time.Duration // from the start to the last token
	Usage        entry.Usage
	FinishReason string
}

// Failure is a problem document.
type Failure struct {
	entry.Problem
}

// Error returns the detail and whether the request was run.
func (f *Failure) Error() string { return f.Detail + " (run: " + f.Run + ")" }

// Addresses asks the nodes in order for the addresses to use.
func (c *Caller) Addresses(ctx context.Context) (entry.Addresses, error) {
	var last error
	for _, n := range c.Nodes {
		var addresses entry.Addresses
		if last = c.getJSON(ctx, "http://"+n+"/v1/addresses", &addresses); last == nil {
			return addresses, nil
		}
	}
	return entry.Addresses{}, errors.Wrap(last, "no node gave addresses")
}

func (c *Caller) getJSON(ctx context.Context, url string, out any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	reply, err := c.HTTP.Do(request)
	if err != nil {
		return err
	}
	defer reply.Body.Close()
	return json.NewDecoder(reply.Body).Decode(out)
}

// Prompt returns the prompt that the system makes of one user message.
func Prompt(content string) string { return "user: " + content + "\n" }

// Chat sends one user message to the node at address and reads the streamed answer.
func (c *Caller) Chat(ctx context.Context, address, model, content string, maxTokens int, key string) (Answer, error) {
	body := entry.ChatRequest{
		Model:     model,
		Messages:  []entry.ChatMessage{{Role: "user", Content: content}},
		MaxTokens: maxTokens,
		Stream:    true,
	}
	started := time.Now()
	reply, err := c.send(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", body, key)
	if err != nil {
		return Answer{}, err
	}
	defer reply.Body.Close()
	answer := Answer{}
	err = answer.read(reply.Body, started)
	return answer, err
}

// Call sends a call to a plain service and returns the answer's body.
func (c *Caller) Call(ctx context.Context, address, method, path string, body any, key string) ([]byte, error) {
	reply, err := c.send(ctx, method, "http://"+address+"/v1/services/"+path, body, key)
	if err != nil {
		return nil, err
	}
	defer reply.Body.Close()
	raw, err := io.ReadAll(reply.Body)
	return raw, errors.Wrap(err, "read answer")
}

func (c *Caller) send(ctx context.Context, method, url string, body any, key string) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	reply, err := c.HTTP.Do(request)
	if err != nil {
		return nil, err
	}
	if reply.StatusCode >= http.StatusBadRequest {
		defer reply.Body.Close()
		failure := &Failure{}
		if err := json.NewDecoder(reply.Body).Decode(&failure.Problem); err != nil {
			return nil, errors.Wrapf(err, "status %d", reply.StatusCode)
		}
		return nil, failure
	}
	return reply, nil
}

// read takes the events of a streamed answer. Tokens count only at the next offset.
func (a *Answer) read(body io.Reader, started time.Time) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	event := ""
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case strings.HasPrefix(line, "event: "):
			event = strings.TrimPrefix(line, "event: ")
		case strings.HasPrefix(line, "data: "):
			if err := a.take(event, []byte(strings.TrimPrefix(line, "data: ")), started); err != nil {
				return err
			}
		case line == "":
			event = ""
		}
		if a.Whole {
			return nil
		}
	}
	return errors.Wrap(errOr(scanner.Err(), io.ErrUnexpectedEOF), "answer is cut off")
}

func errOr(err, otherwise error) error {
	if err != nil {
		return err
	}
	return otherwise
}

func (a *Answer) take(event string, data []byte, started time.Time) error {
	if event == "error" {
		failure := &Failure{}
		if err := json.Unmarshal(data, &failure.Problem); err != nil {
			return errors.Wrap(err, "decode problem")
		}
		return failure
	}
	var delta entry.ChatDelta
	if err := json.Unmarshal(data, &delta); err != nil {
		return errors.Wrap(err, "decode event")
	}
	a.Run = delta.ID
	if delta.Offset != len(a.Tokens) {
		return errors.Errorf("event at offset %d, expected %d", delta.Offset, len(a.Tokens))
	}
	if len(delta.Tokens) > 0 {
		a.LastToken = time.Since(started)
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
