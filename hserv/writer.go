package hserv

import (
	"net/http"
	"strconv"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// Writer writes the HTTP response to one caller. Response is required.
type Writer struct {
	Response http.ResponseWriter
	// Timeout bounds each write, which blocks while the caller doesn't read its
	// response; zero means 5 s.
	Timeout clock.Millis
	// Started is set once the head of the response may have been written.
	Started bool
	// Status is the status of the response, zero before Reply.
	Status int
	// Written counts the bytes of the body, and Err is the first error of a write.
	Written int64
	Err     error
	// remaining is the number of body bytes still to be written, or negative if
	// the length is unknown.
	remaining int64
}

// defaultWriteTimeout applies if Timeout is zero.
const defaultWriteTimeout = 5 * clock.Second

// Reply writes the status and headers of the response. If the body is known to
// be short, they are sent together with it.
func (w *Writer) Reply(r core.Reply) error {
	w.Started = true
	w.Status = r.Status
	w.remaining = r.Length
	h := w.Response.Header()
	for name, values := range r.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// nil keeps net/http from guessing a content type.
		h["Content-Type"] = nil
	}
	if r.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
	w.extendDeadline()
	w.Response.WriteHeader(r.Status)
	if r.Length >= 0 && r.Length <= maxDelayedHeadBytes {
		return nil
	}
	return w.flush()
}

// extendDeadline allows the whole timeout for the next write. An error means that the
// connection is closed, which the write will report.
func (w *Writer) extendDeadline() {
	timeout := w.Timeout
	if timeout == 0 {
		timeout = defaultWriteTimeout
	}
	_ = http.NewResponseController(w.Response).SetWriteDeadline(deadlineAfter(timeout))
}

// Flush writes what net/http still buffers, within the whole timeout.
func (w *Writer) Flush() error {
	w.extendDeadline()
	return w.flush()
}

// flush writes what net/http still buffers, within the deadline in force.
func (w *Writer) flush() error {
	return w.keepError(http.NewResponseController(w.Response).Flush())
}

// keepError records the first error of a write and returns err.
func (w *Writer) keepError(err error) error {
	if w.Err == nil {
		w.Err = err
	}
	return err
}

// maxDelayedHeadBytes is the longest body whose head isn't flushed on its own.
const maxDelayedHeadBytes = 64 << 10

// Write writes a part of the body and flushes it. It doesn't flush the last part
// of a body with known length, which net/http does when the handler returns.
func (w *Writer) Write(p []byte) error {
	w.extendDeadline()
	n, err := w.Response.Write(p)
	w.Written += int64(n)
	if err != nil {
		return w.keepError(err)
	}
	if w.remaining >= 0 {
		if w.remaining -= int64(len(p)); w.remaining <= 0 {
			return nil
		}
	}
	return w.flush()
}
