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
	notReadyRetry   = time.Second
	bytesPerToken   = 4 // estimate until the engines' tokenizer is at hand
	blockBytes      = 64 * bytesPerToken
	defaultMaxToken = 256
)

// completionRequest is the part of OpenAI's format that is understood.
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

// shape writes the answer as one of OpenAI's two objects.
type shape struct {
	whole string
	chunk string
	chat  bool
}

var (
	textShape = shape{whole: "text_completion", chunk: "text_completion"}
	chatShape = shape{whole: "chat.completion", chunk: "chat.completion.chunk", chat: true}
)

func (f *Front) completions(w http.ResponseWriter, r *http.Request) { f.complete(w, r, textShape) }

func (f *Front) chat(w http.ResponseWriter, r *http.Request) { f.complete(w, r, chatShape) }

func (f *Front) complete(w http.ResponseWriter, r *http.Request, s shape) {
	asked, body, p := f.begin(w, r)
	if p != nil {
		p.write(w)
		return
	}
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		bad(http.StatusBadRequest, "malformed_json", "body", err.Error()).write(w)
		return
	}
	if p := f.check(&asked, &c, r.Header.Get(headerKind), s); p != nil {
		p.write(w)
		return
	}
	out := &writer{front: f, w: w, shape: s, id: asked.ID, model: c.Model, stream: c.Stream}
	f.answer(r.Context(), asked, out)
}

// check fills in what the request asks of a model.
func (f *Front) check(asked *entry.Request, c *completionRequest, kind string, s shape) *problem {
	if kind == "" {
		kind = c.Kind
	}
	if !f.serves(c.Model) {
		return bad(http.StatusNotFound, "unknown_model", "model", "The model "+quote(c.Model)+" does not exist.")
	}
	if p := f.checkKind(asked, kind, c.Model, "model"); p != nil {
		return p
	}
	asked.Prompt = c.Prompt
	if s.chat {
		asked.Prompt = joinMessages(c.Messages)
	}
	if asked.Prompt == "" {
		field := "prompt"
		if s.chat {
			field = "messages"
		}
		return bad(http.StatusBadRequest, "empty_prompt", field, "The prompt must not be empty.")
	}
	asked.Tokens = (len(asked.Prompt) + bytesPerToken - 1) / bytesPerToken
	if asked.Tokens > f.settings.PromptLimit {
		return bad(http.StatusBadRequest, "prompt_too_long", "prompt", "The prompt is over the limit.")
	}
	asked.MaxTokens = min(defaultMaxToken, f.settings.AnswerLimit)
	if c.MaxTokens != nil {
		asked.MaxTokens = *c.MaxTokens
	}
	if asked.MaxTokens < 1 || asked.MaxTokens > f.settings.AnswerLimit {
		return bad(http.StatusBadRequest, "max_tokens_out_of_range", "max_tokens", "The answer's length must be positive and within the limit.")
	}
	asked.Blocks = prefixBlocks(asked.Workspace, asked.Prompt)
	return nil
}

func joinMessages(messages []message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}

func (f *Front) serves(model string) bool {
	for _, k := range f.catalog().Kinds {
		if k.Serves == model {
			return true
		}
	}
	return false
}

// prefixBlocks hashes each block of a prompt with all before it. The workspace
// is hashed first, so that workspaces share no cached prefix and learn nothing
// of each other's prompts by timing.
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

// answer runs the request. The answer of one that may not be repeated is kept
// for callers that ask again.
func (f *Front) answer(ctx context.Context, asked entry.Request, out *writer) {
	end := f.entry.Hold(asked.ID, asked.Kind)
	var text strings.Builder
	o := f.entry.Complete(ctx, asked, func(t endpoint.Token) error {
		if t.Done {
			return nil
		}
		text.WriteString(t.Text)
		return out.token(t.Text)
	})
	end(endpoint.Answer{Status: http.StatusOK, Body: []byte(text.String())}, o.Result == entry.Answered)
	if o.Taken != nil {
		if again, ok := f.entry.Held(ctx, *o.Taken); ok {
			_ = out.token(string(again.Body))
			o = entry.Outcome{Result: entry.Answered}
		}
	}
	out.end(o)
}
