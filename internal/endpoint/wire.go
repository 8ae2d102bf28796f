package endpoint

import (
	"net/netip"
	"time"
)

// PrefillRequest makes a prefill endpoint compute a prompt's KV cache.
type PrefillRequest struct {
	Attempt string   `json:"attempt"`
	Prompt  string   `json:"prompt"`
	Tokens  int      `json:"tokens"`
	Blocks  []uint64 `json:"blocks"` // prefix block hashes, salted by workspace
}

// PrefillResult means that the KV cache is ready; it can be fetched for a short time.
type PrefillResult struct {
	CachedTokens int `json:"cached_tokens"`
}

// DecodeRequest makes a decode endpoint fetch a KV cache and generate tokens.
type DecodeRequest struct {
	Attempt   string         `json:"attempt"`
	Source    netip.AddrPort `json:"source"` // prefill endpoint that holds the KV cache
	MaxTokens int            `json:"max_tokens"`
	Offset    int            `json:"offset"` // index of the first token to send
}

// Token is one line of a decode stream; Done is set in the last line.
type Token struct {
	Index int    `json:"index"`
	Text  string `json:"text,omitempty"`
	Done  bool   `json:"done,omitempty"`
	Total int    `json:"total,omitempty"` // tokens of the whole response; set if Done
}

// HeldAttempt is an attempt for which an endpoint holds memory.
type HeldAttempt struct {
	Attempt string `json:"attempt"`
	Phase   string `json:"phase"` // waiting, prefill, kv, transfer, decode or call
}

// Load is an endpoint's report of its own load, which lags by AgeMS.
type Load struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	StepUS  int64 `json:"step_us"` // duration of the last decode step
	AgeMS   int64 `json:"age_ms"`  // how old the report is
}

// Step returns the duration of the last decode step.
func (l Load) Step() time.Duration { return time.Duration(l.StepUS) * time.Microsecond }

// CacheEvent reports that a block was added to or removed from an endpoint's prefix cache.
type CacheEvent struct {
	Sequence int64  `json:"sequence"` // without gaps unless events were lost
	Block    uint64 `json:"block"`
	Removed  bool   `json:"removed,omitempty"`
}

// Report combines an endpoint's held attempts, load and cache events.
type Report struct {
	Held   []HeldAttempt `json:"held"`
	Load   Load          `json:"load"`
	Events []CacheEvent  `json:"events"`
}

// Order changes what an endpoint serves. Fence must not be lower than that of any earlier
// order.
type Order struct {
	Fence   int64  `json:"fence"`
	Verb    string `json:"verb"` // load_model, load_adapter, load_version or change_role
	Subject string `json:"subject"`
}
