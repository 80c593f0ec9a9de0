package input

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
)

// Limit sets the time within which a body must have arrived, and lifts limits
// that an earlier answer on the connection has left. It holds also
// for a body that is refused unread, since net/http reads on for a while
// before it answers. [Read] lifts it.
func Limit(w http.ResponseWriter, r *http.Request, d clock.Millis) {
	// A writer of tests may have no deadlines.
	c := http.NewResponseController(w)
	_ = c.SetWriteDeadline(time.Time{})
	if r.ContentLength == 0 {
		// Reading ahead for the end of the connection must not be cut.
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(d.Std()))
}

// Read reads a body of up to limit bytes. Afterwards the connection is
// listened to without a limit of time, so that its end is noticed.
func Read(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, codes.New(codes.TooLarge, "body: over %d bytes", limit)
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, readError(err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return data, nil
}

func readError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return codes.New(codes.TooLarge, "body: over %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return codes.Wrap(codes.SlowInput, err, "body")
	}
	return codes.Wrap(codes.BadRequest, err, "body: can't be read")
}
