package engine

// Messages of the engines' HTTP interface. Requests and answers are JSON; a run's answer is a stream of JSON chunks, one a line.

// RunRequest asks an engine to generate an answer, or to resume one.
type RunRequest struct {
	RunID        string   `json:"run"`
	AttemptID    string   `json:"attempt"` // echoed on every chunk
	ModelVersion string   `json:"model_version"`
	Prompt       string   `json:"prompt"`
	Generated    []string `json:"generated,omitempty"` // tokens that earlier attempts produced
	MaxTokens    int      `json:"max_tokens"`
	Priority     int      `json:"priority"`            // higher goes first
	Resume       bool     `json:"resume,omitempty"`    // continue a run that the engine still holds, or refuse
	KVHandle     string   `json:"kv_handle,omitempty"` // KV cache imported before
}

// Chunk is one line of a run's answer.
type Chunk struct {
	AttemptID      string   `json:"attempt"`
	Offset         int      `json:"offset"` // of the first token, counted from the start of the answer
	Tokens         []string `json:"tokens,omitempty"`
	Heartbeat      bool     `json:"heartbeat,omitempty"`
	Started        bool     `json:"started,omitempty"`         // first chunk: the run has a slot
	ComputedTokens int      `json:"computed_tokens,omitempty"` // on Started: tokens to prefill
	CachedTokens   int      `json:"cached_tokens,omitempty"`   // on Started: tokens found in a cache
	End            bool     `json:"end,omitempty"`
	FinishReason   string   `json:"finish_reason,omitempty"`
	Cancelled      bool     `json:"cancelled,omitempty"`
}

// Refusal is the body of an answer with status 409, 410 or 503: the run was not started.
type Refusal struct {
	Reason string `json:"reason"`
}

// LoadReport is an engine's report of its load. It can lag.
type LoadReport struct {
	Running             int      `json:"running"`
	Waiting             int      `json:"waiting"`
	Slots               int      `json:"slots"`
	WaitingPromptTokens int      `json:"waiting_prompt_tokens"`
	ModelVersion        string   `json:"model_version"`
	Adapters            []string `json:"adapters,omitempty"`
	Role                string   `json:"role"`
	Leaving             bool     `json:"leaving"`
	LeavingInMillis     int64    `json:"leaving_in_ms,omitempty"` // time left, 0 if not leaving
	Epoch               int64    `json:"epoch"`                   // changes when the process restarts
	PrefillTokensPerSec float64  `json:"prefill_tokens_per_second"`
	DecodeStepMillis    float64  `json:"decode_step_ms"` // at the present batch size
	LastFence           int64    `json:"last_fence"`
	LoadingVersion      string   `json:"loading_version,omitempty"`
}

// CacheEvent says that a block of tokens entered or left an engine's prefix cache.
type CacheEvent struct {
	Sequence int64    `json:"sequence"`
	Stored   bool     `json:"stored"` // false: evicted
	Blocks   []uint64 `json:"blocks"`
}

// CacheEvents is a page of cache events. A gap shows as a jump in Sequence.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   int64        `json:"next"`
}

// Order kinds.
const (
	OrderLoadVersion = "load_version"
	OrderLoadAdapter = "load_adapter"
	OrderSetRole     = "set_role"
)

// Order tells an engine to change what it serves. An engine that checks fencing tokens refuses a lower Fence than the
// highest that it has seen.
type Order struct {
	Kind         string `json:"kind"`
	ModelVersion string `json:"model_version,omitempty"`
	WeightsKey   string `json:"weights,omitempty"`
	Adapter      string `json:"adapter,omitempty"`
	Role         string `json:"role,omitempty"`
	Fence        int64  `json:"fence"`
}

// KVExport describes an exported KV cache.
type KVExport struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"` // prompt and generated tokens covered
	Bytes  int64  `json:"bytes"`
}

// KVImportRequest asks an engine to fetch an exported KV cache from another engine.
type KVImportRequest struct {
	Handle string `json:"handle"`
	Source string `json:"source"` // base URL of the exporting engine
}
