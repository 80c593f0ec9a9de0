package input

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/hserv"
	"lacewinghook.example/lacewinghook/spool"
)

// SetDeadlines limits the time in which the body must arrive to d, and clears the
// write deadline that an earlier response may have left on the connection. The
// limit also covers a body that the handler doesn't read, since net/http reads
// part of it before it sends the response. [Read] clears the limit.
func SetDeadlines(w http.ResponseWriter, r *http.Request, d clock.Millis) {
	// Errors are ignored: the writers of some tests support no deadlines.
	c := http.NewResponseController(w)
	_ = c.SetWriteDeadline(time.Time{})
	if r.ContentLength == 0 {
		// net/http reads ahead to detect that the client disconnects. A read
		// deadline would end that.
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(d.Duration()))
}

// Read reads a body of up to limit bytes. It then clears the read deadline, so
// that net/http can detect that the client disconnects while the request runs.
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

// ReadTo reads a body of up to limit bytes into buf, and clears the read deadline like
// [Read]. The error is [codes.InputFull] if buf has no room or had to give way; the rest of
// the body is then discarded within the bounds of all, which may be nil.
func ReadTo(w http.ResponseWriter, r *http.Request, buf *spool.Buffer, limit int64, all *hserv.Discards) error {
	b := hserv.Body{Request: r, Controller: http.NewResponseController(w), Discards: all}
	buf.Evict = b.Interrupt
	err := b.ReadTo(buf, limit, 0)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, spool.ErrFull):
		read := buf.Len()
		buf.Reset()
		b.Discard(limit)
		return codes.Wrap(codes.InputFull, err, "body: %d bytes, %d of it read", r.ContentLength, read)
	}
	return readError(err)
}

// readError converts an error of reading a body to a [codes.Error].
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
