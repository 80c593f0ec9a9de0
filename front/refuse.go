package front

import (
	"net/http"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/reply"
)

// refuse answers with an error and counts it.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	s.Meter.Refused(codes.From(err).Code)
	writeError(w, err)
}

func errorOf(err error) (int, reply.Failure) { return reply.Of(err) }

func writeError(w http.ResponseWriter, err error) { reply.Error(w, err) }

func writeJSON(w http.ResponseWriter, status int, v any) { reply.JSON(w, status, v) }
