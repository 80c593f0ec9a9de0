package front

import (
	"net/http"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/input"
)

// bodyRetryAfter is the hint given when too many bodies arrive at once.
const bodyRetryAfter clock.Millis = 500

// readBody reads the body of a call within the limits of size, time and number.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limits := s.Limits.Filled()
	defer s.openBodies.Add(-1)
	if s.openBodies.Add(1) > int64(limits.Inputs) {
		return nil, codes.New(codes.QueueFull, "%d bodies are being read", limits.Inputs).WithRetry(bodyRetryAfter)
	}
	return input.Read(w, r, limits.Body)
}
