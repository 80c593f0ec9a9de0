package prompt

import (
	"slices"
	"strconv"
	"strings"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/strict"
)

// options holds the fields that both kinds of requests share. It has only those
// customary fields that are supported. Any other field is rejected by name,
// rather than ignored.
type options struct {
	Model     string `json:"model"`
	MaxTokens *int   `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// N is the number of choices. Only 1 is supported.
	N *int `json:"n"`
	// User is a label chosen by the caller. It has no effect.
	User string `json:"user"`
}

// completionBody is the body of a completion request.
type completionBody struct {
	options
	Prompt string `json:"prompt"`
}

// Message is one message of a chat request or response.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatBody is the body of a chat completion request.
type chatBody struct {
	options
	Messages []Message `json:"messages"`
	// MaxCompletionTokens replaces MaxTokens in newer clients.
	MaxCompletionTokens *int `json:"max_completion_tokens"`
}

// Limits of a request.
const (
	defaultMaxTokens = 256 // if the request sets no maximum
	maxTokensLimit   = 32 << 10
	maxMessages      = 1000
	maxUserBytes     = 256
)

// roles lists the valid roles of a message.
var roles = []string{"system", "developer", "user", "assistant"}

// Prompt is a valid request of either kind. Chat selects the form of the
// response.
type Prompt struct {
	Model     string
	Text      string
	MaxTokens int
	Stream    bool
	Chat      bool
}

// Completion decodes and validates the body of a completion request.
func Completion(data []byte) (Prompt, error) {
	var body completionBody
	faults := strict.Decode(data, &body)
	if len(faults) == 0 {
		if body.Prompt == "" {
			faults.Add("prompt", "missing")
		}
		body.options.check(&faults, "max_tokens")
	}
	if len(faults) > 0 {
		return Prompt{}, badRequest(faults)
	}
	return body.options.prompt(body.Prompt, false), nil
}

// Chat decodes and validates the body of a chat completion request.
func Chat(data []byte) (Prompt, error) {
	var body chatBody
	faults := strict.Decode(data, &body)
	if len(faults) == 0 {
		body.check(&faults)
	}
	if len(faults) > 0 {
		return Prompt{}, badRequest(faults)
	}
	return body.options.prompt(body.text(), true), nil
}

// check validates the shared fields. tokensField is the name of the field that
// set MaxTokens.
func (o *options) check(faults *strict.FieldErrors, tokensField string) {
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

// prompt returns the request with the prompt text and the defaults filled in.
func (o *options) prompt(text string, chat bool) Prompt {
	p := Prompt{Model: o.Model, Text: text, MaxTokens: defaultMaxTokens, Stream: o.Stream, Chat: chat}
	if o.MaxTokens != nil {
		p.MaxTokens = *o.MaxTokens
	}
	return p
}

// check validates the request. It moves MaxCompletionTokens to MaxTokens.
func (c *chatBody) check(faults *strict.FieldErrors) {
	field := "max_tokens"
	if c.MaxCompletionTokens != nil {
		if c.MaxTokens != nil {
			faults.Add("max_completion_tokens", "given together with max_tokens")
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

// text joins the messages to one prompt. It ends with the assistant's role, so
// that the model continues with the assistant's message.
func (c *chatBody) text() string {
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	b.WriteString("assistant: ")
	return b.String()
}

// badRequest returns an error that lists every invalid field.
func badRequest(faults strict.FieldErrors) error {
	return codes.New(codes.BadRequest, "body: %v", faults)
}
