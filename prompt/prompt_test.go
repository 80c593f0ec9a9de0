package prompt

import (
	"testing"

	"github.com/matryer/is"
)

// TestChatAppliesAllFields checks that no supported field of a request is ignored.
func TestChatAppliesAllFields(t *testing.T) {
	is := is.New(t)
	p, err := Chat([]byte(`{"model":"verse","messages":[{"role":"user","content":"hi"}],"max_completion_tokens":7,"n":1,"user":"u","stream":true}`))
	is.NoErr(err)
	is.Equal(p, Prompt{Model: "verse", Text: "user: hi\nassistant: ", MaxTokens: 7, Stream: true, Chat: true})
}

// FuzzCompletion checks that no body makes Completion return an invalid prompt.
func FuzzCompletion(f *testing.F) {
	for _, s := range []string{`{"model":"verse","prompt":"x"}`, `{"model":"verse","prompt":"x","max_tokens":0}`, `{"n":2}`, `[]`, `{"prompt":["x"]}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) { checkPrompt(t, data, Completion) })
}

// FuzzChat checks that no body makes Chat return an invalid prompt.
func FuzzChat(f *testing.F) {
	for _, s := range []string{`{"model":"v","messages":[{"role":"user","content":"x"}]}`, `{"messages":[null]}`, `{"max_tokens":1,"max_completion_tokens":1}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) { checkPrompt(t, data, Chat) })
}

// checkPrompt checks that an accepted request is within the limits.
func checkPrompt(t *testing.T, data []byte, read func([]byte) (Prompt, error)) {
	p, err := read(data)
	if err == nil && (p.Model == "" || p.Text == "" || p.MaxTokens < 1 || p.MaxTokens > maxTokensLimit) {
		t.Errorf("accepted %+v", p)
	}
}
