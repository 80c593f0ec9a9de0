package codes

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
)

// Error is an error with a result code.
type Error struct {
	Code Code
	Run  Run
	// Message describes the failure to the caller. For invalid input it names
	// the field.
	Message string
	// RetryAfter is the time after which the caller should retry, in
	// milliseconds; zero means no hint.
	RetryAfter clock.Millis
	// Cause is kept for logs and errors.Is and isn't shown to callers.
	Cause error
}

// New returns an error with the default Run of the code.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Run: c.Info().Run, Message: fmt.Sprintf(format, args...)}
}

// Wrap is like [New] and sets the cause.
func Wrap(c Code, cause error, format string, args ...any) *Error {
	err := New(c, format, args...)
	err.Cause = cause
	return err
}

// WithRun returns a copy of e with another value of Run.
func (e *Error) WithRun(run Run) *Error {
	dup := *e
	dup.Run = run
	return &dup
}

// WithRetryAfter returns a copy of e with the hint to retry after d.
func (e *Error) WithRetryAfter(d clock.Millis) *Error {
	dup := *e
	dup.RetryAfter = d
	return &dup
}

// Error returns the name of the code, the message and the cause.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s: %s", e.Code, e.Message)
	}
	return fmt.Sprintf("%s: %s: %v", e.Code, e.Message, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Is reports whether target is an [Error] with the same code, so that
// errors.Is(err, codes.New(codes.QueueFull, "")) works.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// From converts err to an [Error]. A context error becomes [DeadlinePast] or
// [CallerGone], and any other error without a code becomes [Internal].
func From(err error) *Error {
	var e *Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &e):
		return e
	case errors.Is(err, context.DeadlineExceeded):
		return Wrap(DeadlinePast, err, "deadline").WithRun(Unknown)
	case errors.Is(err, context.Canceled):
		return Wrap(CallerGone, err, "caller")
	}
	return Wrap(Internal, err, "internal fault")
}

// Has reports whether err is or wraps an [Error] with the code c.
func Has(err error, c Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == c
}
