package front

import (
	"net/http"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/input"
)

// inputRetry is the hint given when too many bodies arrive at once.
const inputRetry clock.Millis = 500

// body reads the body of a call within the limits of size, time and number.
func (s *Server) body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limits := s.Limits.Filled()
	defer s.inputs.Add(-1)
	if s.inputs.Add(1) > int64(limits.Inputs) {
		return nil, codes.New(codes.QueueFull, "%d bodies are being read", limits.Inputs).WithRetry(inputRetry)
	}
	return input.Read(w, r, limits.Body)
}
