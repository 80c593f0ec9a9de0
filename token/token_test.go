package token_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/token"
)

// TestSignAndVerify checks that a token is accepted only with the key and the
// content that it was signed with, and that numbers over 2^53 survive the
// encoding.
func TestSignAndVerify(t *testing.T) {
	s := token.Signer{Key: []byte("a key that all entries share")}
	want := token.Resume{ID: core.ID{Owner: core.Owner{Instance: "a", Boot: 1<<64 - 1}, Seq: 2}, Workspace: "w", Digest: 1<<64 - 1}
	text := s.Sign(want)
	body, sum, _ := strings.Cut(text, ".")
	other := token.Signer{Key: []byte("another key")}
	otherBody, _, _ := strings.Cut(s.Sign(token.Resume{Workspace: "v"}), ".")
	for name, c := range map[string]struct {
		signer token.Signer
		text   string
		ok     bool
	}{
		"own":            {s, text, true},
		"other key":      {other, text, false},
		"no key":         {token.Signer{}, text, false},
		"empty":          {s, "", false},
		"no signature":   {s, body + ".", false},
		"other body":     {s, otherBody + "." + sum, false},
		"not base64":     {s, "*." + sum, false},
		"too long":       {s, strings.Repeat("a", 10000) + "." + sum, false},
		"no key, unsign": {token.Signer{}, body + ".", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := c.signer.Verify(c.text)
			is.Equal(err == nil, c.ok)
			if c.ok {
				is.Equal(got, want)
				return
			}
			is.True(codes.Has(err, codes.BadToken))
		})
	}
	is.New(t).Equal(token.Signer{}.Sign(want), "")
}
