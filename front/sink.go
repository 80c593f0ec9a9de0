package front

import (
	"strings"

	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/prompt"
)

// usage holds the token counts of a response.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// choice is the generated answer: Text for completions, Message for chat, and
// Delta for an event of a chat stream.
type choice struct {
	Index   int             `json:"index"`
	Text    *string         `json:"text,omitempty"`
	Message *prompt.Message `json:"message,omitempty"`
	Delta   *prompt.Message `json:"delta,omitempty"`
	Finish  *string         `json:"finish_reason"`
}

// response is the body of a complete response or of one streamed event.
type response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
	Resume  string   `json:"resume,omitempty"`
}

// textSink collects the text of a response that is not streamed.
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

// response returns the body for the collected text.
func (s *textSink) response(r *core.Request) response {
	text := s.text.String()
	c := choice{Finish: &s.finish}
	object := "text_completion"
	if r.Chat {
		object = "chat.completion"
		c.Message = &prompt.Message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return response{
		ID: r.ID.String(), Object: object, Model: r.Model,
		Choices: []choice{c}, Usage: usageOf(core.TokenEstimate(r.Prompt), s.tokens),
	}
}

// usageOf returns the usage for the given counts of prompt and generated tokens.
func usageOf(prompt, tokens int) *usage {
	return &usage{PromptTokens: prompt, CompletionTokens: tokens, TotalTokens: prompt + tokens}
}
