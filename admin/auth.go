package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/input"
	"lacewinghook.example/lacewinghook/reply"
)

// operatorNameKey is the context key of the operator's name.
type operatorNameKey struct{}

// operatorName returns the name that is stored with the operator's changes.
func operatorName(r *http.Request) string {
	name, _ := r.Context().Value(operatorNameKey{}).(string)
	return name
}

// requireToken rejects requests without a valid operator token and stores the
// operator's name in the context of all others.
func (s *Server) requireToken(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		input.SetDeadlines(w, r, inputTimeout)
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		name, known := s.authenticate(token)
		if !ok || !known {
			s.Meter.CountRefused(codes.Unauthorized)
			reply.Error(w, codes.New(codes.Unauthorized, "header Authorization: want a valid bearer token"))
			return
		}
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorNameKey{}, name)))
	})
}

// inputTimeout is the deadline for reading a whole request.
const inputTimeout = 10 * clock.Second

// operatorNameDigits is the number of hexadecimal digits of the token's digest
// that form the operator's name.
const operatorNameDigits = 8

// authenticate returns the name of the operator that the token belongs to. It
// compares the token's digest with every listed digest, each in constant time,
// so that the response time reveals nothing about the digests.
func (s *Server) authenticate(token string) (name string, ok bool) {
	sum := sha256.Sum256([]byte(token))
	digest := hex.EncodeToString(sum[:])
	match := 0
	for _, t := range s.Tokens {
		match |= subtle.ConstantTimeCompare([]byte(t), []byte(digest))
	}
	return "operator-" + digest[:operatorNameDigits], match == 1
}
