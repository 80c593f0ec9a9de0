package front

import (
	"net/http"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/input"
)

// bodyRetryAfter is the time after which a caller may retry, sent if too many
// bodies are being read.
const bodyRetryAfter clock.Millis = 500

// readBody reads the body of a request, limited in size and time and in the
// number of bodies that are read concurrently.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limits := s.Limits.WithDefaults()
	defer s.openBodies.Add(-1)
	if s.openBodies.Add(1) > int64(limits.Inputs) {
		return nil, codes.New(codes.QueueFull, "limit of %d concurrent request bodies reached", limits.Inputs).WithRetryAfter(bodyRetryAfter)
	}
	return input.Read(w, r, limits.Body)
}
