package hserv

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/spool"
)

// Body is the body of a caller's request. Request and Controller are required.
type Body struct {
	Request    *http.Request
	Controller *http.ResponseController
	// Discards, if not nil, bounds the work of [Body.Discard] for all requests.
	Discards *Discards
}

// ReadTo reads the body into buf, at most limit bytes, within the given time, which isn't
// bounded if it isn't positive. Room for a body whose length is known is reserved before
// any of it is read. The error is [os.ErrDeadlineExceeded] if the time is over or
// [core.Ended] is done, [http.MaxBytesError] if the body is longer than limit, and
// [spool.ErrFull] if buf has no room or had to give way.
func (b Body) ReadTo(buf *spool.Buffer, limit int64, within clock.Millis) error {
	length := b.Request.ContentLength
	if length > limit {
		return &http.MaxBytesError{Limit: limit}
	}
	if err := buf.Reserve(max(length, 0)); err != nil {
		return err
	}
	if within > 0 {
		b.limitRead(deadlineAfter(within))
	}
	_, err := buf.ReadFrom(http.MaxBytesReader(nil, b.Request.Body, limit))
	if err == nil {
		_ = b.Controller.SetReadDeadline(time.Time{})
	}
	// If the buffer had to give way, that is why the read failed.
	if full := buf.Pin(); full != nil {
		return full
	}
	return err
}

// limitRead sets the deadline of reading the body. It has passed if this entry has ended
// the request.
func (b Body) limitRead(deadline time.Time) {
	// An error means that the connection is closed, which the read will report.
	_ = b.Controller.SetReadDeadline(deadline)
	if core.Ended(b.Request.Context()).Err() != nil {
		b.Expire()
	}
}

// Expire ends a read of the body that waits for data.
func (b Body) Expire() { _ = b.Controller.SetReadDeadline(time.Unix(1, 0)) }

// Interrupt ends a read of the body that gets no data for a while. A body that goes on
// arriving isn't cut, since the form of one in chunks is lost then, and the rest can't be
// discarded.
func (b Body) Interrupt() { _ = b.Controller.SetReadDeadline(deadlineAfter(maxDiscardPause)) }

// Bounds of the time in which the body of a rejected request is read: for each part of it,
// and for all.
const (
	maxDiscardPause    = 1 * clock.Second
	maxDiscardTime     = 5 * clock.Second
	discardBufferBytes = 16 << 10
)

// Discard reads what is left of the body of a rejected request, at most limit bytes. A
// caller may read nothing before it has sent all. Without this, net/http would close the
// connection under a long body and wait for the rest of a short one without a time limit.
//
// It stops, and the connection is closed after the answer, if the bodies of rejected requests
// have used up the work for them.
func (b Body) Discard(limit int64) {
	if b.Request.ContentLength == 0 || b.Request.Header.Get("Expect") != "" {
		// The caller of a request with Expect waits for the response.
		return
	}
	buf := make([]byte, discardBufferBytes)
	end := deadlineAfter(maxDiscardTime)
	for limit > 0 {
		deadline := deadlineAfter(maxDiscardPause)
		if end.Before(deadline) {
			deadline = end
		}
		b.limitRead(deadline)
		n, err := b.Request.Body.Read(buf)
		limit -= int64(n)
		if err == nil && !b.Discards.allow(n) {
			// net/http doesn't read the rest either.
			b.Expire()
			return
		}
		if errors.Is(err, io.EOF) {
			_ = b.Controller.SetReadDeadline(time.Time{})
			return
		}
		if err != nil {
			return
		}
	}
}

// deadlineAfter returns the wall-clock time d from now, for socket deadlines.
func deadlineAfter(d clock.Millis) time.Time { return time.Now().Add(d.Duration()) }
