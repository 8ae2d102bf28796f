package endpoint

import (
	"net/netip"
	"time"
)

// PrefillRequest asks a prefill endpoint to compute a prompt's KV cache.
type PrefillRequest struct {
	Attempt string   `json:"attempt"`
	Prompt  string   `json:"prompt"`
	Tokens  int      `json:"tokens"`
	Blocks  []uint64 `json:"blocks"` // prefix block hashes, salted by workspace
}

// PrefillResult says that the KV cache is ready to be fetched for a short time.
type PrefillResult struct {
	CachedTokens int `json:"cached_tokens"`
}

// DecodeRequest asks a decode endpoint to fetch a KV cache and generate.
type DecodeRequest struct {
	Attempt   string         `json:"attempt"`
	Source    netip.AddrPort `json:"source"` // prefill endpoint that holds the KV cache
	MaxTokens int            `json:"max_tokens"`
	Offset    int            `json:"offset"` // first token wanted
}

// Token is one line of a decode stream; the last line has Done set.
type Token struct {
	Index int    `json:"index"`
	Text  string `json:"text,omitempty"`
	Done  bool   `json:"done,omitempty"`
	Total int    `json:"total,omitempty"` // tokens of the whole answer, with Done
}

// Held is one attempt that an endpoint holds memory for.
type Held struct {
	Attempt string `json:"attempt"`
	Phase   string `json:"phase"` // waiting, prefill, kv, transfer, decode or call
}

// Load is an endpoint's own report, which lags.
type Load struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	StepUS  int64 `json:"step_us"` // duration of the last decode step
	AgeMS   int64 `json:"age_ms"`  // how old the report is
}

// Step returns the duration of the last decode step.
func (l Load) Step() time.Duration { return time.Duration(l.StepUS) * time.Microsecond }

// CacheEvent tells that a block entered or left an endpoint's prefix cache.
type CacheEvent struct {
	Sequence int64  `json:"sequence"` // without gaps unless events were lost
	Block    uint64 `json:"block"`
	Removed  bool   `json:"removed,omitempty"`
}

// Report is an endpoint's listing, load and cache events in one answer.
type Report struct {
	Held   []Held       `json:"held"`
	Load   Load         `json:"load"`
	Events []CacheEvent `json:"events"`
}

// Order changes what an endpoint serves. Fence must not be lower than that of
// any earlier order.
type Order struct {
	Fence   int64  `json:"fence"`
	Verb    string `json:"verb"` // load_model, load_adapter, load_version or change_role
	Subject string `json:"subject"`
}
