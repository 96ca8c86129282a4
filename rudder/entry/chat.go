package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/outcome"
	"chestnutrudder.example/rudder/quarantine"
)

const defaultMaxTokens = 256

// ChatRequest is the body of POST /v1/chat/completions.
type ChatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// ChatMessage is one message of a conversation.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatAnswer is the JSON answer to POST /v1/chat/completions.
type ChatAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   Usage        `json:"usage"`
}

// ChatChoice is the answer's text.
type ChatChoice struct {
	Index        int         `json:"index"`
	Message      ChatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

// Usage counts tokens.
type Usage struct {
	CompletionTokens int   `json:"completion_tokens"`
	RecomputedTokens int64 `json:"recomputed_tokens"`
	Attempts         int   `json:"attempts"`
}

// ChatDelta is one event of a streamed answer.
type ChatDelta struct {
	ID           string   `json:"id"`
	Offset       int      `json:"offset"` // of the first token
	Tokens       []string `json:"tokens,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
	Usage        *Usage   `json:"usage,omitempty"`
}

// prompt joins the messages into the text that engines receive.
func (c ChatRequest) prompt() string {
	var b strings.Builder
	for _, m := range c.Messages {
		fmt.Fprintf(&b, "%s: %s\n", m.Role, m.Content)
	}
	return b.String()
}

func decodeChat(r *http.Request) (ChatRequest, error) {
	var chat ChatRequest
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	if err := decoder.Decode(&chat); err != nil {
		return chat, outcome.Refuse(http.StatusBadRequest, 0, "the body is not a chat request: %v", err)
	}
	if len(chat.Messages) == 0 {
		return chat, outcome.Refuse(http.StatusBadRequest, 0, "messages: [], allowed: at least one message")
	}
	if chat.MaxTokens < 0 {
		return chat, outcome.Refuse(http.StatusBadRequest, 0, "max_tokens: %d, allowed: at least 1", chat.MaxTokens)
	}
	if chat.MaxTokens == 0 {
		chat.MaxTokens = defaultMaxTokens
	}
	return chat, nil
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request, organisation string) {
	chat, err := decodeChat(r)
	if err != nil {
		s.fail(w, r, err)
		return
	}
	session, err := s.newSession(organisation, chat)
	if err != nil {
		s.fail(w, r, err)
		return
	}
	if chat.Stream {
		s.stream(w, r, session)
		return
	}
	if err := session.run(r.Context(), func(int, []string) error { return nil }); err != nil {
		s.fail(w, r, err)
		return
	}
	writeJSON(w, http.StatusOK, ChatAnswer{
		ID:     session.id,
		Object: "chat.completion",
		Model:  chat.Model,
		Choices: []ChatChoice{{
			Message:      ChatMessage{Role: "assistant", Content: strings.Join(session.tokens, " ")},
			FinishReason: session.finishReason,
		}},
		Usage: session.usage(),
	})
}

// stream sends the answer as server-sent events. The id of an event is the run and the offset of the next token.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, session *session) {
	controller := http.NewResponseController(w)
	started := false
	send := func(event string, offset int, value any) error {
		if !started {
			started = true
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Cache-Control", "no-store")
			w.WriteHeader(http.StatusOK)
		}
		if err := writeEvent(w, event, fmt.Sprintf("%s/%d", session.id, offset), value); err != nil {
			return err
		}
		return controller.Flush()
	}
	err := session.run(r.Context(), func(offset int, tokens []string) error {
		return send("", offset+len(tokens), ChatDelta{ID: session.id, Offset: offset, Tokens: tokens})
	})
	switch {
	case err == nil:
		usage := session.usage()
		_ = send("end", len(session.tokens), ChatDelta{ID: session.id, Offset: len(session.tokens), FinishReason: session.finishReason, Usage: &usage})
	case !started:
		s.fail(w, r, err)
	default:
		problem, _ := s.problem(err)
		_ = send("error", len(session.tokens), problem)
	}
}

func writeEvent(w io.Writer, event, id string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if event != "" {
		if _, err := fmt.Fprintf(w, "event: %s\n", event); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(w, "id: %s\ndata: %s\n\n", id, raw)
	return err
}

func classOf(route object.RouteSpec, maxTokens int) limit.Class {
	if route.LongTokens > 0 && maxTokens >= route.LongTokens {
		return limit.ClassLong
	}
	return limit.ClassShort
}

// deadlineOf returns how long a request may wait for its first token; 0 means no limit.
func deadlineOf(route object.RouteSpec, deployment object.DeploymentSpec) time.Duration {
	millis := route.QueueMilliseconds
	if millis == 0 {
		millis = deployment.Target.FirstTokenMilliseconds
	}
	return time.Duration(millis) * time.Millisecond
}

func (s *Server) newSession(organisation string, chat ChatRequest) (*session, error) {
	index := s.Current.Index()
	_, route, found := index.RouteFor(organisation, chat.Model, "")
	if !found {
		return nil, outcome.Refuse(http.StatusNotFound, 0, "model: %q, allowed: a model that a route of the organisation names", chat.Model)
	}
	deployment := index.Deployments[route.Deployment]
	prompt := chat.prompt()
	fingerprint := quarantine.Fingerprint(organisation, route.Deployment, prompt)
	if s.Quarantine != nil && s.Quarantine.Quarantined(quarantine.Key{Organisation: organisation, Fingerprint: fingerprint}, time.Now()) {
		return nil, outcome.Refuse(http.StatusUnprocessableEntity, 0, "the request has crashed backend servers")
	}
	return &session{
		server:       s,
		id:           uuid.NewString(),
		organisation: organisation,
		deployment:   route.Deployment,
		modelVersion: deployment.ModelVersion,
		prompt:       prompt,
		maxTokens:    chat.MaxTokens,
		started:      time.Now(),
		class:        classOf(route, chat.MaxTokens),
		deadline:     deadlineOf(route, deployment),
		preference:   deployment.Preference,
		fingerprint:  fingerprint,
	}, nil
}
