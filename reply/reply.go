package reply

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
)

// ErrorDetail is the public form of a [codes.Error].
type ErrorDetail struct {
	Code       codes.Code   `json:"code"`
	Name       string       `json:"name"`
	Run        codes.Run    `json:"run"`
	Message    string       `json:"message"`
	RetryAfter clock.Millis `json:"retry,omitempty"`
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// FromError returns the HTTP status and the body for err. The body omits the
// wrapped cause, which is internal.
func FromError(err error) (int, ErrorBody) {
	e := codes.From(err)
	info := e.Code.Info()
	return info.Status, ErrorBody{Error: ErrorDetail{
		Code: e.Code, Name: info.Name, Run: e.Run, Message: e.Message, RetryAfter: e.RetryAfter,
	}}
}

// errorTimeout bounds the time to send an error. It is longer than net/http may read the rest
// of a request's body before that.
const errorTimeout = 15 * clock.Second

// Error sends err as the response. Anybody may cause one, so that a client that doesn't read
// it must not hold its connection.
func Error(w http.ResponseWriter, err error) {
	// An error means that the connection is closed, or that the writer is that of a test.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(errorTimeout.Duration()))
	status, body := FromError(err)
	JSON(w, status, body)
}

// JSON sends v as the response with the status.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client disconnected, so it is ignored.
	_ = json.NewEncoder(w).Encode(v)
}

// ReadError decodes the body of an error response into a [codes.Error]. For a
// body in another format it returns an error that isn't a [codes.Error].
func ReadError(status int, body []byte) error {
	var parsed ErrorBody
	if json.Unmarshal(body, &parsed) != nil || parsed.Error.Code == 0 {
		return errors.Errorf("response with status %d has no error body in the known format", status)
	}
	detail := parsed.Error
	return &codes.Error{Code: detail.Code, Run: detail.Run, Message: detail.Message, RetryAfter: detail.RetryAfter}
}
