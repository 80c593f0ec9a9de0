package prompt

import (
	"slices"
	"strconv"
	"strings"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/strict"
)

// options are the fields that both forms of a call share. Of the customary
// fields those are taken that can be honoured; any other is refused by name.
type options struct {
	Model     string `json:"model"`
	MaxTokens *int   `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// N is the number of answers, of which there is always one.
	N *int `json:"n"`
	// User is a label of the caller's own and changes nothing.
	User string `json:"user"`
}

// completionBody is the body of a completions call.
type completionBody struct {
	options
	Prompt string `json:"prompt"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatBody is the body of a chat completions call.
type chatBody struct {
	options
	Messages []Message `json:"messages"`
	// MaxCompletionTokens is the newer name of max_tokens.
	MaxCompletionTokens *int `json:"max_completion_tokens"`
}

// Bounds of a completions call.
const (
	defaultMaxTokens = 256
	maxTokensLimit   = 32 << 10
	maxMessages      = 1000
	maxUserBytes     = 256
)

// roles are those that a message may have.
var roles = []string{"system", "developer", "user", "assistant"}

// Prompt is a call in either form, decoded and checked.
type Prompt struct {
	Model     string
	Text      string
	MaxTokens int
	Stream    bool
	Chat      bool
}

// Completion decodes and checks the body of a completions call.
func Completion(data []byte) (Prompt, error) {
	var call completionBody
	faults := strict.Decode(data, &call)
	if len(faults) == 0 {
		if call.Prompt == "" {
			faults.Add("prompt", "missing")
		}
		call.options.check(&faults, "max_tokens")
	}
	if len(faults) > 0 {
		return Prompt{}, badRequest(faults)
	}
	return call.options.prompt(call.Prompt, false), nil
}

// Chat decodes and checks the body of a chat completions call.
func Chat(data []byte) (Prompt, error) {
	var call chatBody
	faults := strict.Decode(data, &call)
	if len(faults) == 0 {
		call.check(&faults)
	}
	if len(faults) > 0 {
		return Prompt{}, badRequest(faults)
	}
	return call.options.prompt(call.text(), true), nil
}

func (o *options) check(faults *strict.Faults, tokensField string) {
	if o.Model == "" {
		faults.Add("model", "missing")
	}
	if o.MaxTokens != nil && (*o.MaxTokens < 1 || *o.MaxTokens > maxTokensLimit) {
		faults.Add(tokensField, "want 1 to %d", maxTokensLimit)
	}
	if o.N != nil && *o.N != 1 {
		faults.Add("n", "want 1")
	}
	if len(o.User) > maxUserBytes {
		faults.Add("user", "over %d bytes", maxUserBytes)
	}
}

func (o *options) prompt(text string, chat bool) Prompt {
	p := Prompt{Model: o.Model, Text: text, MaxTokens: defaultMaxTokens, Stream: o.Stream, Chat: chat}
	if o.MaxTokens != nil {
		p.MaxTokens = *o.MaxTokens
	}
	return p
}

func (c *chatBody) check(faults *strict.Faults) {
	field := "max_tokens"
	if c.MaxCompletionTokens != nil {
		if c.MaxTokens != nil {
			faults.Add("max_completion_tokens", "given beside max_tokens")
		}
		field = "max_completion_tokens"
		c.MaxTokens = c.MaxCompletionTokens
	}
	c.options.check(faults, field)
	if len(c.Messages) == 0 || len(c.Messages) > maxMessages {
		faults.Add("messages", "want 1 to %d messages", maxMessages)
	}
	for i, m := range c.Messages {
		if !slices.Contains(roles, m.Role) {
			faults.Add("messages["+strconv.Itoa(i)+"].role", "want one of %s", strings.Join(roles, ", "))
		}
	}
}

// text returns the messages as one prompt, which ends where the assistant is
// to go on.
func (c *chatBody) text() string {
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	b.WriteString("assistant: ")
	return b.String()
}

// badRequest returns the error that names every field at fault.
func badRequest(faults strict.Faults) error {
	return codes.New(codes.BadRequest, "body: %v", faults)
}
