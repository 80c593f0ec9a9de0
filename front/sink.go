package front

import (
	"encoding/json"
	"net/http"
	"strings"

	"lacewinghook.example/lacewinghook/core"
)

// usage counts the tokens of an answer.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// choice is the answer, in the completions form or the chat form.
type choice struct {
	Index   int      `json:"index"`
	Text    *string  `json:"text,omitempty"`
	Message *message `json:"message,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

// answer is a whole answer, or one event of a stream.
type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
	Resume  string   `json:"resume,omitempty"`
}

// textSink gathers a whole answer.
type textSink struct {
	text   strings.Builder
	tokens int
	finish string
}

// Token implements [flow.Sink].
func (s *textSink) Token(t core.Token) error {
	if t.Finish != "" {
		s.finish = t.Finish
		return nil
	}
	s.text.WriteString(t.Text)
	s.tokens++
	return nil
}

func (s *textSink) answer(r *core.Request) answer {
	text := s.text.String()
	c := choice{Finish: &s.finish}
	object := "text_completion"
	if r.Chat {
		object = "chat.completion"
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return answer{
		ID: r.ID.String(), Object: object, Model: r.Model,
		Choices: []choice{c}, Usage: usageOf(r, s.tokens),
	}
}

func usageOf(r *core.Request, tokens int) *usage {
	prompt := core.TokenEstimate(r.Prompt)
	return &usage{PromptTokens: prompt, CompletionTokens: tokens, TotalTokens: prompt + tokens}
}

// streamSink sends an answer as server-sent events.
type streamSink struct {
	w       http.ResponseWriter
	out     *http.ResponseController
	req     *core.Request
	started bool
}

// Token implements [flow.Sink].
func (s *streamSink) Token(t core.Token) error {
	s.start()
	if err := s.event(s.tokenAnswer(t)); err != nil {
		return err
	}
	if t.Finish != "" {
		if _, err := s.w.Write([]byte("data: [DONE]\n\n")); err != nil {
			return err
		}
	}
	return s.out.Flush()
}

func (s *streamSink) tokenAnswer(t core.Token) answer {
	a := answer{ID: s.req.ID.String(), Model: s.req.Model, Object: "text_completion"}
	c := choice{}
	if s.req.Chat {
		a.Object = "chat.completion.chunk"
		c.Delta = &message{Role: "assistant", Content: t.Text}
	} else {
		c.Text = &t.Text
	}
	if t.Finish != "" {
		c.Finish = &t.Finish
		a.Usage = usageOf(s.req, t.Offset)
	}
	a.Choices = []choice{c}
	return a
}

func (s *streamSink) start() {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) event(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	line := make([]byte, 0, len(data)+8)
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	_, err = s.w.Write(line)
	return err
}

// fail tells the caller of an error: as the answer if nothing was sent yet,
// else as the last event, which is not an end marker.
func (s *streamSink) fail(err error) {
	if !s.started {
		writeError(s.w, err)
		return
	}
	_, body := errorOf(err)
	if s.event(body) == nil {
		_ = s.out.Flush()
	}
}
