package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// Resume is the content of a resume token: the data that an entry needs to
// resume a stream of another entry.
type Resume struct {
	ID        core.ID `json:"id"`
	Workspace string  `json:"workspace"`
	// Attempt is an attempt of the entry that issued the token.
	Attempt core.Attempt `json:"attempt"`
	// Upstream is the decode upstream that runs the request.
	Upstream string `json:"upstream"`
	Model    string `json:"model"`
	Chat     bool   `json:"chat,omitempty"`
	// PromptTokens is the length of the prompt, and MaxTokens is the maximum
	// length of the answer.
	PromptTokens int `json:"prompt"`
	MaxTokens    int `json:"max"`
	// Digest is the hash of the request's content, by which the quarantine
	// identifies it.
	Digest uint64 `json:"digest"`
}

// Signer signs and verifies tokens. Without a Key it issues no tokens and
// rejects all.
type Signer struct {
	// Key is shared by all entries. It must never be logged.
	Key []byte
}

// maxTokenBytes is the maximum length of a token. Longer ones are rejected
// before they are decoded.
const maxTokenBytes = 4 << 10

// encoding encodes the two parts of a token for use in a header or URL.
var encoding = base64.RawURLEncoding

// Sign returns the signed token for r, or "" without a key.
func (s Signer) Sign(r Resume) string {
	if len(s.Key) == 0 {
		return ""
	}
	// The fields of Resume always encode.
	data, _ := json.Marshal(r)
	return encoding.EncodeToString(data) + "." + encoding.EncodeToString(s.signature(data))
}

// Verify checks the signature of a token and returns its content. Its error is
// [codes.BadToken].
func (s Signer) Verify(text string) (Resume, error) {
	var r Resume
	body, signature, ok := strings.Cut(text, ".")
	if !ok || len(s.Key) == 0 || len(text) > maxTokenBytes {
		return r, codes.New(codes.BadToken, "resume token")
	}
	data, err := encoding.DecodeString(body)
	if err != nil {
		return r, codes.New(codes.BadToken, "resume token")
	}
	sum, err := encoding.DecodeString(signature)
	if err != nil || !hmac.Equal(sum, s.signature(data)) {
		return r, codes.New(codes.BadToken, "resume token")
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return r, codes.Wrap(codes.BadToken, err, "resume token")
	}
	return r, nil
}

// signature returns the HMAC-SHA256 of data.
func (s Signer) signature(data []byte) []byte {
	h := hmac.New(sha256.New, s.Key)
	// Writing to a hash never fails.
	_, _ = h.Write(data)
	return h.Sum(nil)
}
