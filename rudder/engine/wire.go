package engine

// This file has the messages of the engines' HTTP API. Requests and responses are JSON; the response to a run request is a
// stream of JSON chunks, one per line.

// RunRequest requests the generation of an answer, or the rest of an answer that the engine is generating.
type RunRequest struct {
	RunID        string   `json:"run"`
	AttemptID    string   `json:"attempt"` // echoed on every chunk
	ModelVersion string   `json:"model_version"`
	Prompt       string   `json:"prompt"`
	Generated    []string `json:"generated,omitempty"` // tokens that earlier attempts produced
	MaxTokens    int      `json:"max_tokens"`
	Priority     int      `json:"priority"`            // runs with a higher priority get a slot first
	Resume       bool     `json:"resume,omitempty"`    // read a run that the engine still holds; refused if it does not
	KVHandle     string   `json:"kv_handle,omitempty"` // KV cache that was imported with ImportKV
}

// Chunk is one line of the response to a run request.
type Chunk struct {
	AttemptID      string   `json:"attempt"`
	Offset         int      `json:"offset"` // of the first token, counted in tokens from the start of the answer
	Tokens         []string `json:"tokens,omitempty"`
	Heartbeat      bool     `json:"heartbeat,omitempty"`
	Started        bool     `json:"started,omitempty"`         // in the first chunk: the run has a slot
	ComputedTokens int      `json:"computed_tokens,omitempty"` // if Started: input tokens to prefill
	CachedTokens   int      `json:"cached_tokens,omitempty"`   // if Started: input tokens found in a cache
	End            bool     `json:"end,omitempty"`
	FinishReason   string   `json:"finish_reason,omitempty"`
	Cancelled      bool     `json:"cancelled,omitempty"`
}

// Refusal is the body of a response with status 404, 409, 410 or 503: the engine did not do what was requested.
type Refusal struct {
	Reason string `json:"reason"`
}

// LoadReport is the load that an engine reports. It can be out of date.
type LoadReport struct {
	Running             int      `json:"running"` // runs that have a slot
	Waiting             int      `json:"waiting"` // runs that wait for a slot
	Slots               int      `json:"slots"`
	WaitingPromptTokens int      `json:"waiting_prompt_tokens"` // tokens still to be prefilled, of waiting and running runs
	ModelVersion        string   `json:"model_version"`
	Adapters            []string `json:"adapters,omitempty"`
	Role                string   `json:"role"`
	Leaving             bool     `json:"leaving"`
	LeavingInMillis     int64    `json:"leaving_in_ms,omitempty"` // time until the host goes away, 0 if it does not
	Epoch               int64    `json:"epoch"`                   // changes when the process restarts
	PrefillTokensPerSec float64  `json:"prefill_tokens_per_second"`
	DecodeStepMillis    float64  `json:"decode_step_ms"`            // at the current batch size
	LastFence           int64    `json:"last_fence"`                // highest fencing token of any order
	LoadingVersion      string   `json:"loading_version,omitempty"` // model version that is being loaded
}

// CacheEvent reports blocks of tokens that were stored in an engine's prefix cache or evicted from it.
type CacheEvent struct {
	Sequence int64    `json:"sequence"`
	Stored   bool     `json:"stored"` // false: evicted
	Blocks   []uint64 `json:"blocks"` // hashes as returned by PrefixBlocks
}

// CacheEvents is a page of cache events. Lost events show as a gap in Sequence.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   int64        `json:"next"` // sequence number to read after for the next page
}

// Values of Order.Kind.
const (
	OrderLoadVersion = "load_version"
	OrderLoadAdapter = "load_adapter"
	OrderSetRole     = "set_role"
)

// Order tells an engine to load a model version or an adapter, or to change its role. An engine that checks fencing tokens
// refuses an order whose Fence is lower than the highest that it has seen.
type Order struct {
	Kind         string `json:"kind"`
	ModelVersion string `json:"model_version,omitempty"`
	WeightsKey   string `json:"weights,omitempty"` // key in the weight store
	Adapter      string `json:"adapter,omitempty"`
	Role         string `json:"role,omitempty"`
	Fence        int64  `json:"fence"` // fencing token of the sender's lease
}

// KVExport describes an exported KV cache.
type KVExport struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"` // number of prompt and generated tokens in the cache
	Bytes  int64  `json:"bytes"`
}

// KVImportRequest requests that an engine fetches an exported KV cache from another engine.
type KVImportRequest struct {
	Handle string `json:"handle"`
	Source string `json:"source"` // base URL of the exporting engine
}
