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

// Resume is what an entry needs to go on with a stream that another began.
type Resume struct {
	ID        core.ID `json:"id"`
	Workspace string  `json:"workspace"`
	// Attempt is one of the owner that gave the token out.
	Attempt core.Attempt `json:"attempt"`
	// Upstream is the decode upstream that runs the request.
	Upstream string `json:"upstream"`
	Model    string `json:"model"`
	Chat     bool   `json:"chat,omitempty"`
	// Prompt counts the prompt's tokens, and Max bounds the answer's.
	Prompt int    `json:"prompt"`
	Max    int    `json:"max"`
	Digest uint64 `json:"digest"`
}

// Signer makes and checks tokens. Without a Key it makes none and accepts
// none.
type Signer struct {
	// Key is shared by all entries. It must never be logged.
	Key []byte
}

// maxTokenBytes bounds a token.
const maxTokenBytes = 4 << 10

var encoding = base64.RawURLEncoding

// Seal returns the token for r, or the empty text without a key.
func (s Signer) Seal(r Resume) string {
	if len(s.Key) == 0 {
		return ""
	}
	// The type's fields always encode.
	data, _ := json.Marshal(r)
	return encoding.EncodeToString(data) + "." + encoding.EncodeToString(s.signature(data))
}

// Open returns what the token was made of. Its error is [codes.BadToken].
func (s Signer) Open(text string) (Resume, error) {
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

func (s Signer) signature(data []byte) []byte {
	h := hmac.New(sha256.New, s.Key)
	// Writing to a hash never fails.
	_, _ = h.Write(data)
	return h.Sum(nil)
}
