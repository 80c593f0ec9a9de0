package front

import (
	"encoding/json"
	"net/http"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
)

// refuse answers with an error and counts it.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	s.Meter.Refused(codes.From(err).Code)
	writeError(w, err)
}

type errorBody struct {
	Code    codes.Code   `json:"code"`
	Name    string       `json:"name"`
	Run     codes.Run    `json:"run"`
	Message string       `json:"message"`
	Retry   clock.Millis `json:"retry,omitempty"`
}

type errorAnswer struct {
	Error errorBody `json:"error"`
}

func errorOf(err error) (int, errorAnswer) {
	e := codes.From(err)
	info := e.Code.Info()
	return info.Status, errorAnswer{Error: errorBody{
		Code: e.Code, Name: info.Name, Run: e.Run, Message: e.Message, Retry: e.Retry,
	}}
}

func writeError(w http.ResponseWriter, err error) {
	status, body := errorOf(err)
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the caller is gone; nobody is left to tell.
	_ = json.NewEncoder(w).Encode(v)
}
