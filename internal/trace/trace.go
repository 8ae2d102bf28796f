// Package trace reads, writes and replays recorded traces of callers' requests. A
// trace is lines of JSON: a header, then one request a line in order of time.
// Prompts are not recorded but derived from a seed, and each line carries the
// digest of the expected answer.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
)

// Error marks every error of this package.
var Error = errs.Class("trace")

const bytesPerToken = 4

// Class is a class of requests with the latency targets of its answers.
type Class struct {
	Name   string `json:"name"`
	TTFTMS int    `json:"ttft_ms"`
	TBTMS  int    `json:"tbt_ms"`
}

// Header is the first line of a trace.
type Header struct {
	Name    string  `json:"name"`
	Classes []Class `json:"classes"`
}

// Request is one request of a caller.
type Request struct {
	AtMS          int64  `json:"at_ms"`
	Workspace     string `json:"workspace"`
	Class         string `json:"class"`
	Kind          string `json:"kind"`
	Model         string `json:"model,omitempty"`   // empty for a plain service
	Service       string `json:"service,omitempty"` // plain service; empty for a model
	Seed          int64  `json:"seed"`
	Prefix        string `json:"prefix,omitempty"` // text that the first PrefixTokens of the prompt are made of
	PrefixTokens  int    `json:"prefix_tokens,omitempty"`
	Tokens        int    `json:"tokens,omitempty"`    // length of the whole prompt
	OutputTokens  int    `json:"out,omitempty"`       // length of the answer in tokens
	Key           string `json:"key,omitempty"`       // idempotency key
	RepeatAfterMS int64  `json:"again_ms,omitempty"`  // if set, the caller repeats the request this long after the first send
	CancelAfterMS int64  `json:"cancel_ms,omitempty"` // if set, the caller disconnects after this time
	Digest        uint64 `json:"digest"`
}

// Trace is a recorded trace.
type Trace struct {
	Header   Header
	Requests []Request
}

// Read parses a trace.
func Read(r io.Reader) (*Trace, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	t := &Trace{}
	for number := 1; lines.Scan(); number++ {
		var into any = &t.Header
		if number > 1 {
			t.Requests = append(t.Requests, Request{})
			into = &t.Requests[len(t.Requests)-1]
		}
		if err := json.Unmarshal(lines.Bytes(), into); err != nil {
			return nil, Error.New("line %d: %v", number, err)
		}
	}
	return t, Error.Wrap(lines.Err())
}

// Write writes a trace.
func (t *Trace) Write(w io.Writer) error {
	out := json.NewEncoder(w)
	if err := out.Encode(t.Header); err != nil {
		return Error.Wrap(err)
	}
	for _, r := range t.Requests {
		if err := out.Encode(r); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// Key returns the bearer key of a workspace in demonstrations.
func Key(workspace string) string { return "key-" + workspace }

// Prompt returns the request's prompt: the shared prefix, text unique to the
// request, and the length of the answer in the form that the stand-in engines parse.
func (r Request) Prompt() string {
	end := fmt.Sprintf(" [out=%d]", r.OutputTokens)
	prefix := repeatTo(r.Prefix, r.PrefixTokens*bytesPerToken)
	own := repeatTo(fmt.Sprintf("request %d ", r.Seed), r.Tokens*bytesPerToken-len(prefix)-len(end))
	return prefix + own + end
}

// Body returns the body of a call to a plain service.
func (r Request) Body() string { return fmt.Sprintf(`{"seed":%d}`, r.Seed) }

// repeatTo repeats text, with spaces between, up to length bytes.
func repeatTo(text string, length int) string {
	if length <= 0 || text == "" {
		return ""
	}
	return strings.Repeat(text+" ", length/(len(text)+1)+1)[:length]
}

// DigestOf returns the digest of an answer's text.
func DigestOf(text string) uint64 { return xxhash.Sum64String(text) >> 12 } // exact in JSON numbers
