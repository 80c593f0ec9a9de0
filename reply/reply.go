package reply

import (
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
)

// Detail is an error as callers and operators see it.
type Detail struct {
	Code    codes.Code   `json:"code"`
	Name    string       `json:"name"`
	Run     codes.Run    `json:"run"`
	Message string       `json:"message"`
	Retry   clock.Millis `json:"retry,omitempty"`
}

// Failure is the body of an answer that is an error.
type Failure struct {
	Error Detail `json:"error"`
}

// Of returns the status and the body for an error. Its cause is left out.
func Of(err error) (int, Failure) {
	e := codes.From(err)
	info := e.Code.Info()
	return info.Status, Failure{Error: Detail{
		Code: e.Code, Name: info.Name, Run: e.Run, Message: e.Message, Retry: e.Retry,
	}}
}

// Error answers with an error.
func Error(w http.ResponseWriter, err error) {
	status, body := Of(err)
	JSON(w, status, body)
}

// JSON answers with v.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the caller is gone; nobody is left to tell.
	_ = json.NewEncoder(w).Encode(v)
}

// ReadError returns the error that the body of an answer holds, as a
// [codes.Error]; a body in another form gives a plain error.
func ReadError(status int, body []byte) error {
	var f Failure
	if json.Unmarshal(body, &f) != nil || f.Error.Code == 0 {
		return errors.Errorf("the answer has status %d and no error in the known form", status)
	}
	d := f.Error
	return &codes.Error{Code: d.Code, Run: d.Run, Message: d.Message, Retry: d.Retry}
}
