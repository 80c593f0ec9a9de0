package front

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/strict"
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
	if r.ContentLength > limits.Body {
		return nil, codes.New(codes.TooLarge, "body: over %d bytes", limits.Body)
	}
	// The deadline is that of the connection, and is lifted for what comes
	// after the body. A writer of tests may have none.
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(time.Now().Add(limits.Input.Std()))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limits.Body))
	if err != nil {
		return nil, inputError(err)
	}
	_ = c.SetReadDeadline(time.Time{})
	return data, nil
}

func inputError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return codes.New(codes.TooLarge, "body: over %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return codes.Wrap(codes.SlowInput, err, "body")
	}
	return codes.Wrap(codes.BadRequest, err, "body: can't be read")
}

// badFields returns the error that names every field at fault.
func badFields(faults strict.Faults) error {
	return codes.New(codes.BadRequest, "body: %v", faults)
}
