package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/trailshed/trailshed/internal/entry"
)

// writer gives a model's answer to one caller, whole or as server-sent events.
// Nothing is written before the first token, so that a failure before it still
// gets its own status.
type writer struct {
	front   *Front
	w       http.ResponseWriter
	shape   shape
	id      string
	model   string
	stream  bool
	started bool
	text    strings.Builder
	tokens  int
}

// completion is OpenAI's answer object, whole or a chunk of it.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func (o *writer) token(text string) error {
	o.tokens++
	if !o.stream {
		o.text.WriteString(text)
		return nil
	}
	if !o.started {
		o.started = true
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set("Cache-Control", "no-store")
	}
	return o.event(o.completion(o.shape.chunk, text, nil))
}

func (o *writer) completion(object, text string, finish *string) completion {
	c := choice{FinishReason: finish}
	switch {
	case o.shape.chat && o.stream:
		c.Delta = &message{Role: "assistant", Content: text}
	case o.shape.chat:
		c.Message = &message{Role: "assistant", Content: text}
	default:
		c.Text = &text
	}
	created := o.front.now().Time().Unix()
	return completion{ID: o.id, Object: object, Created: created, Model: o.model, Choices: []choice{c}}
}

func (o *writer) event(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if _, err := o.w.Write([]byte("data: " + string(data) + "\n\n")); err != nil {
		return err
	}
	return http.NewResponseController(o.w).Flush()
}

// end writes what follows the last token: the end of the stream, the whole
// answer, or what went wrong.
func (o *writer) end(out entry.Outcome) {
	stop := "stop"
	switch {
	case out.Result == entry.CallerGone:
	case out.Result != entry.Answered && o.started:
		_ = o.event(map[string]*problem{"error": problemOf(out)})
	case out.Result != entry.Answered:
		problemOf(out).write(o.w)
	case o.stream:
		if !o.started {
			_ = o.token("")
		}
		_ = o.event(o.completion(o.shape.chunk, "", &stop))
		_, _ = o.w.Write([]byte("data: [DONE]\n\n"))
	default:
		c := o.completion(o.shape.whole, o.text.String(), &stop)
		c.Usage = &usage{CompletionTokens: o.tokens}
		o.w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(o.w).Encode(c)
	}
}
