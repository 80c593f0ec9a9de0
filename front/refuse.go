package front

import (
	"net/http"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/reply"
)

// refuse sends an error response and counts it.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	s.Meter.CountRefused(codes.From(err).Code)
	writeError(w, err)
}

// errorOf returns the HTTP status and the response body for err.
func errorOf(err error) (int, reply.ErrorBody) { return reply.FromError(err) }

// writeError sends err as the response.
func writeError(w http.ResponseWriter, err error) { reply.Error(w, err) }

// writeJSON sends v as the response with the status.
func writeJSON(w http.ResponseWriter, status int, v any) { reply.JSON(w, status, v) }
