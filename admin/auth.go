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

// operatorNameKey is the key of the operator's name in a request's context.
type operatorNameKey struct{}

// operatorName returns the name under which an operator's changes are kept.
func operatorName(r *http.Request) string {
	name, _ := r.Context().Value(operatorNameKey{}).(string)
	return name
}

// requireToken answers nothing to those without a valid token.
func (s *Server) requireToken(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		input.Limit(w, r, inputTimeout)
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		name, known := s.authenticate(token)
		if !ok || !known {
			s.Meter.Refused(codes.Unauthorized)
			reply.Error(w, codes.New(codes.Unauthorized, "header Authorization: want a valid bearer token"))
			return
		}
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorNameKey{}, name)))
	})
}

// inputTimeout is the time within which an operator's input must have arrived.
const inputTimeout = 10 * clock.Second

// operatorNameDigits is how much of a token's digest names the operator.
const operatorNameDigits = 8

// authenticate returns the name of the operator whose token it is. It compares
// with every digest, in constant time each.
func (s *Server) authenticate(token string) (name string, ok bool) {
	sum := sha256.Sum256([]byte(token))
	digest := hex.EncodeToString(sum[:])
	match := 0
	for _, t := range s.Tokens {
		match |= subtle.ConstantTimeCompare([]byte(t), []byte(digest))
	}
	return "operator-" + digest[:operatorNameDigits], match == 1
}
