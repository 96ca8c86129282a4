package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/outcome"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/quarantine"
)

const (
	defaultMaxTokens = 256
	bodyReadTimeout  = 30 * time.Second
	// deadlineHeader is the header with the limit for the first token, in milliseconds from the arrival of the request.
	deadlineHeader    = "X-Request-Deadline"
	maxDeadlineMillis = 600_000
)

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

// ChatResponse is the response to POST /v1/chat/completions without streaming.
type ChatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   Usage        `json:"usage"`
}

// ChatChoice is the generated message.
type ChatChoice struct {
	Index        int         `json:"index"`
	Message      ChatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

// Usage counts the tokens and attempts of a run.
type Usage struct {
	CompletionTokens int   `json:"completion_tokens"`
	RecomputedTokens int64 `json:"recomputed_tokens"` // computed again by later attempts
	Attempts         int   `json:"attempts"`
}

// ChatDelta is one event of a streamed answer.
type ChatDelta struct {
	ID           string   `json:"id"`
	Offset       int      `json:"offset"` // of the first token in Tokens
	Tokens       []string `json:"tokens,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
	Usage        *Usage   `json:"usage,omitempty"`
}

// prompt joins the messages into the prompt for the engine.
func (c ChatRequest) prompt() string {
	var b strings.Builder
	for _, m := range c.Messages {
		fmt.Fprintf(&b, "%s: %s\n", m.Role, m.Content)
	}
	return b.String()
}

// contentHash hashes the request, to detect an idempotency key that is used again with other content. The hash does not
// depend on whether the answer is streamed.
func (c ChatRequest) contentHash(organisation string) string {
	c.Stream = false
	raw, _ := json.Marshal(c) // cannot fail: strings and numbers only
	sum := sha256.Sum256(append([]byte(organisation+"\x00"), raw...))
	return hex.EncodeToString(sum[:16])
}

// partTraits returns the traits of the messages that other conversations may share: all but the last one.
func (c ChatRequest) partTraits(organisation string) []uint64 {
	var traits []uint64
	for _, m := range c.Messages[:len(c.Messages)-1] {
		traits = append(traits, uint64(quarantine.PartTrait(organisation, m.Role, m.Content)))
	}
	return traits
}

func decodeChatRequest(w http.ResponseWriter, r *http.Request) (ChatRequest, error) {
	var chat ChatRequest
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	err := decoder.Decode(&chat)
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return chat, outcome.NotRunErrorf(http.StatusRequestEntityTooLarge, 0, "body: more than %d bytes, allowed: at most %d bytes", maxBodyBytes, maxBodyBytes)
	}
	if err != nil {
		return chat, outcome.NotRunErrorf(http.StatusBadRequest, 0, "body: %v, allowed: a JSON chat request", err)
	}
	return chat, chat.validate()
}

// validate checks the request and sets the default of max_tokens. Errors name the field, its value and what is allowed.
func (c *ChatRequest) validate() error {
	invalid := func(field string, value any, allowed string) error {
		return outcome.NotRunErrorf(http.StatusBadRequest, 0, "%s: %v, allowed: %s", field, value, allowed)
	}
	if c.Model == "" {
		return invalid("model", `""`, "the name of a model")
	}
	if len(c.Messages) == 0 {
		return invalid("messages", "[]", "at least one message")
	}
	for i, m := range c.Messages {
		switch m.Role {
		case "system", "user", "assistant", "tool":
		default:
			return invalid(fmt.Sprintf("messages[%d].role", i), strconv.Quote(m.Role), "system, user, assistant, tool")
		}
	}
	if c.MaxTokens < 0 {
		return invalid("max_tokens", c.MaxTokens, "at least 1")
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultMaxTokens
	}
	return nil
}

func (s *Server) completeChat(w http.ResponseWriter, r *http.Request, organisation string) {
	chat, err := decodeChatRequest(w, r)
	if err != nil {
		s.writeProblem(w, r, err)
		return
	}
	if lastEventID := r.Header.Get("Last-Event-ID"); lastEventID != "" {
		s.resumeChat(w, r, organisation, chat, lastEventID)
		return
	}
	request, err := s.newRunRequest(organisation, chat, r.Header.Get("Idempotency-Key"))
	if err != nil {
		s.writeProblem(w, r, err)
		return
	}
	if err := s.checkQuarantine(request); err != nil {
		s.writeProblem(w, r, err)
		return
	}
	if err := applyDeadline(r, request); err != nil {
		s.writeProblem(w, r, err)
		return
	}
	sess, err := s.openSession(r.Context(), request, request.Key != "" || chat.Stream)
	if err != nil {
		s.writeProblem(w, r, err)
		return
	}
	s.writeAnswer(w, r, sess, 0, chat.Stream)
}

// resumeChat continues an answer for a caller that repeats its request with the ID of the last event that it received.
func (s *Server) resumeChat(w http.ResponseWriter, r *http.Request, organisation string, chat ChatRequest, lastEventID string) {
	run, offset, err := parseEventID(lastEventID)
	if err != nil {
		s.writeProblem(w, r, err)
		return
	}
	repeatedRequest, err := s.newRunRequest(organisation, chat, r.Header.Get("Idempotency-Key"))
	if err != nil {
		s.writeProblem(w, r, err)
		return
	}
	if s.IsDraining() && s.sessions.find(organisation, run) == nil {
		s.redirectToOtherNode(w, r, run, chat.Stream)
		return
	}
	sess, err := s.findSession(r.Context(), organisation, run, repeatedRequest)
	if err != nil {
		s.writeProblem(w, r, err)
		return
	}
	s.writeAnswer(w, r, sess, offset, chat.Stream)
}

// applyDeadline replaces the route's limit for the first token by that in the caller's header, if there is one.
func applyDeadline(r *http.Request, request *peerpb.RunRequest) error {
	text := r.Header.Get(deadlineHeader)
	if text == "" {
		return nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds < 1 || milliseconds > maxDeadlineMillis {
		return outcome.NotRunErrorf(http.StatusBadRequest, 0, "%s: %q, allowed: milliseconds from 1 to %d", deadlineHeader, text, maxDeadlineMillis)
	}
	request.DeadlineMs = milliseconds
	return nil
}

func (s *Server) newRunRequest(organisation string, chat ChatRequest, key string) (*peerpb.RunRequest, error) {
	if len(key) > maxIdempotencyKeyBytes {
		return nil, outcome.NotRunErrorf(http.StatusBadRequest, 0, "Idempotency-Key: %d bytes, allowed: at most %d bytes", len(key), maxIdempotencyKeyBytes)
	}
	index := s.CurrentSnapshot.Index()
	_, route, found := index.RouteFor(organisation, chat.Model, "")
	if !found {
		return nil, outcome.NotRunErrorf(http.StatusNotFound, 0, "model: %q, allowed: a model that a route of the organisation names", chat.Model)
	}
	content, prompt := chat.contentHash(organisation), chat.prompt()
	fingerprint := quarantine.Fingerprint(organisation, route.Deployment, prompt)
	return &peerpb.RunRequest{
		Run:          uuid.NewString(),
		Organisation: organisation,
		Deployment:   route.Deployment,
		ModelVersion: index.Deployments[route.Deployment].ModelVersion,
		Prompt:       prompt,
		MaxTokens:    int32(chat.MaxTokens),
		DeadlineMs:   firstTokenTimeout(route, index.Deployments[route.Deployment]).Milliseconds(),
		Class:        string(classOf(route, chat.MaxTokens)),
		Fingerprint:  fingerprint,
		Key:          key,
		Content:      content,
		Model:        chat.Model,
		Parts:        chat.partTraits(organisation),
	}, nil
}

// checkQuarantine returns an error if a new request, or others with the same messages, have crashed backend servers. It marks
// a request that is sent nevertheless as a trial.
func (s *Server) checkQuarantine(request *peerpb.RunRequest) error {
	if s.Quarantine == nil {
		return nil
	}
	if s.Quarantine.IsQuarantined(quarantine.Key{Organisation: request.Organisation, Fingerprint: request.Fingerprint}, time.Now()) {
		return outcome.NotRunErrorf(http.StatusUnprocessableEntity, 0, "the request has crashed backend servers")
	}
	refusal, isTrial := s.Quarantine.CheckParts(request.Parts)
	if refusal != nil {
		return outcome.NotRunErrorf(http.StatusUnprocessableEntity, 0, "backend servers have crashed on requests with the same messages")
	}
	request.Trial = isTrial
	return nil
}

func classOf(route object.RouteSpec, maxTokens int) limit.Class {
	if route.LongTokens > 0 && maxTokens >= route.LongTokens {
		return limit.ClassLong
	}
	return limit.ClassShort
}

// firstTokenTimeout returns how long a request may wait for its first token; 0 means no limit. The limit of the route goes
// before the target of the deployment.
func firstTokenTimeout(route object.RouteSpec, deployment object.DeploymentSpec) time.Duration {
	millis := route.QueueMilliseconds
	if millis == 0 {
		millis = deployment.Target.FirstTokenMilliseconds
	}
	return time.Duration(millis) * time.Millisecond
}
