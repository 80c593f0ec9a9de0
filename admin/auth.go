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

// operatorKey is the key of the operator's name in a request's context.
type operatorKey struct{}

// operatorOf returns the name under which an operator's changes are kept.
func operatorOf(r *http.Request) string {
	name, _ := r.Context().Value(operatorKey{}).(string)
	return name
}

// authorized answers nothing to those without a valid token.
func (s *Server) authorized(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		input.Limit(w, r, inputTime)
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		name, known := s.operator(token)
		if !ok || !known {
			s.Meter.Refused(codes.Unauthorized)
			reply.Error(w, codes.New(codes.Unauthorized, "header Authorization: want a valid bearer token"))
			return
		}
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	})
}

// inputTime is the time within which an operator's input must have arrived.
const inputTime = 10 * clock.Second

// nameDigits is how much of a token's digest names the operator.
const nameDigits = 8

// operator returns the name of the operator whose token it is. It compares
// with every digest, in constant time each.
func (s *Server) operator(token string) (name string, ok bool) {
	sum := sha256.Sum256([]byte(token))
	digest := hex.EncodeToString(sum[:])
	match := 0
	for _, t := range s.Tokens {
		match |= subtle.ConstantTimeCompare([]byte(t), []byte(digest))
	}
	return "operator-" + digest[:nameDigits], match == 1
}
