package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/trailshed/trailshed/internal/entry"
)

// completionWriter writes a model's answer to one caller, as one response or as
// server-sent events. It writes nothing before the first token, so that an earlier
// failure can still set the status code.
type completionWriter struct {
	api     *API
	w       http.ResponseWriter
	format  objectFormat
	id      string
	model   string
	stream  bool
	started bool
	text    strings.Builder
	tokens  int
}

// completion is OpenAI's completion object or chunk.
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

func (cw *completionWriter) writeToken(text string) error {
	cw.tokens++
	if !cw.stream {
		cw.text.WriteString(text)
		return nil
	}
	if !cw.started {
		cw.started = true
		cw.w.Header().Set("Content-Type", "text/event-stream")
		cw.w.Header().Set("Cache-Control", "no-store")
	}
	return cw.writeEvent(cw.newCompletion(cw.format.chunk, text, nil))
}

func (cw *completionWriter) newCompletion(object, text string, finish *string) completion {
	c := choice{FinishReason: finish}
	switch {
	case cw.format.chat && cw.stream:
		c.Delta = &message{Role: "assistant", Content: text}
	case cw.format.chat:
		c.Message = &message{Role: "assistant", Content: text}
	default:
		c.Text = &text
	}
	created := cw.api.now().Time().Unix()
	return completion{ID: cw.id, Object: object, Created: created, Model: cw.model, Choices: []choice{c}}
}

func (cw *completionWriter) writeEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if _, err := cw.w.Write([]byte("data: " + string(data) + "\n\n")); err != nil {
		return err
	}
	return http.NewResponseController(cw.w).Flush()
}

// finish ends the response after the last token: it writes the end of the stream, the
// complete answer, or the problem.
func (cw *completionWriter) finish(outcome entry.Outcome) {
	stop := "stop"
	switch {
	case outcome.Result == entry.CallerGone:
		endConnection()
	case outcome.Result != entry.Answered && cw.started:
		_ = cw.writeEvent(map[string]*problem{"error": outcomeProblem(outcome)})
	case outcome.Result != entry.Answered:
		outcomeProblem(outcome).write(cw.w)
	case cw.stream:
		if !cw.started {
			_ = cw.writeToken("")
		}
		_ = cw.writeEvent(cw.newCompletion(cw.format.chunk, "", &stop))
		_, _ = cw.w.Write([]byte("data: [DONE]\n\n"))
	default:
		c := cw.newCompletion(cw.format.object, cw.text.String(), &stop)
		c.Usage = &usage{CompletionTokens: cw.tokens}
		cw.w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(cw.w).Encode(c)
	}
}
