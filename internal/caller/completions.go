package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trailshed/trailshed/internal/endpoint"
	"github.com/trailshed/trailshed/internal/entry"
)

const (
	notReadyRetry    = time.Second
	bytesPerToken    = 4 // estimate, since the tokenizer of the engines is not available here
	blockBytes       = 64 * bytesPerToken
	defaultMaxTokens = 256
)

// completionRequest is the supported subset of OpenAI's request format.
type completionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens *int      `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Kind      string    `json:"kind"` // same as the Trailshed-Kind header
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// objectFormat selects between the text completion and chat completion objects of
// OpenAI's API.
type objectFormat struct {
	object string
	chunk  string
	chat   bool
}

var (
	textFormat = objectFormat{object: "text_completion", chunk: "text_completion"}
	chatFormat = objectFormat{object: "chat.completion", chunk: "chat.completion.chunk", chat: true}
)

func (a *API) completions(w http.ResponseWriter, r *http.Request) { a.complete(w, r, textFormat) }

func (a *API) chat(w http.ResponseWriter, r *http.Request) { a.complete(w, r, chatFormat) }

func (a *API) complete(w http.ResponseWriter, r *http.Request, format objectFormat) {
	req, body, p := a.readRequest(w, r)
	if p != nil {
		p.write(w)
		return
	}
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		newProblem(http.StatusBadRequest, "malformed_json", "body", err.Error()).write(w)
		return
	}
	if p := a.parseCompletion(&req, &c, r.Header.Get(headerKind), format); p != nil {
		p.write(w)
		return
	}
	out := &completionWriter{api: a, w: w, format: format, id: req.ID, model: c.Model, stream: c.Stream}
	a.respond(r.Context(), req, out)
}

// parseCompletion validates a completion request and fills in the model fields of req.
func (a *API) parseCompletion(req *entry.Request, c *completionRequest, kind string, format objectFormat) *problem {
	if kind == "" {
		kind = c.Kind
	}
	if !a.isServed(c.Model) {
		return newProblem(http.StatusNotFound, "unknown_model", "model", "The model "+quoted(c.Model)+" does not exist.")
	}
	if p := a.checkKind(req, kind, c.Model, "model"); p != nil {
		return p
	}
	req.Prompt = c.Prompt
	if format.chat {
		req.Prompt = joinMessages(c.Messages)
	}
	if req.Prompt == "" {
		field := "prompt"
		if format.chat {
			field = "messages"
		}
		return newProblem(http.StatusBadRequest, "empty_prompt", field, "The prompt must not be empty.")
	}
	req.Tokens = (len(req.Prompt) + bytesPerToken - 1) / bytesPerToken
	if req.Tokens > a.settings.PromptLimit {
		return newProblem(http.StatusBadRequest, "prompt_too_long", "prompt", "The prompt is over the limit.")
	}
	req.MaxTokens = min(defaultMaxTokens, a.settings.AnswerLimit)
	if c.MaxTokens != nil {
		req.MaxTokens = *c.MaxTokens
	}
	if req.MaxTokens < 1 || req.MaxTokens > a.settings.AnswerLimit {
		return newProblem(http.StatusBadRequest, "max_tokens_out_of_range", "max_tokens", "The answer's length must be positive and within the limit.")
	}
	req.Blocks = prefixBlocks(req.Workspace, req.Prompt)
	return nil
}

func joinMessages(messages []message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}

// isServed reports whether any kind is served by the model or plain service of a name.
func (a *API) isServed(name string) bool {
	for _, k := range a.catalog().Kinds {
		if k.Serves == name {
			return true
		}
	}
	return false
}

// prefixBlocks returns a hash for each full block of a prompt, which covers the block
// and all text before it. The workspace is hashed first, so that workspaces share no
// cached prefix and cannot infer each other's prompts from timing.
func prefixBlocks(workspace, prompt string) []uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(workspace + "\x00")
	var blocks []uint64
	for len(prompt) >= blockBytes {
		_, _ = h.WriteString(prompt[:blockBytes])
		blocks = append(blocks, h.Sum64())
		prompt = prompt[blockBytes:]
	}
	return blocks
}

// respond runs the request and writes the answer. The answer of a request that may not
// be repeated is kept for callers that send the same key again.
func (a *API) respond(ctx context.Context, req entry.Request, out *completionWriter) {
	end := a.entry.KeepAnswer(req.ID, req.Kind)
	var text strings.Builder
	o := a.entry.Complete(ctx, req, func(t endpoint.Token) error {
		if t.Done {
			return nil
		}
		text.WriteString(t.Text)
		return out.writeToken(t.Text)
	})
	end(endpoint.Response{Status: http.StatusOK, Body: []byte(text.String())}, o.Result == entry.Answered)
	if o.EarlierClaim != nil {
		if kept, ok := a.entry.KeptAnswer(ctx, *o.EarlierClaim); ok {
			_ = out.writeToken(string(kept.Body))
			o = entry.Outcome{Result: entry.Answered}
		}
	}
	out.finish(o)
}
