package codes

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
)

// Error is a result code with its place and cause.
type Error struct {
	Code Code
	Run  Run
	// Message names the place and, for bad input, the field. Callers see it.
	Message string
	// Retry is a hint after how many milliseconds to try again; zero is none.
	Retry clock.Millis
	// Cause is kept for logs and errors.Is; callers don't see it.
	Cause error
}

// New returns an error with the code's usual Run.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Run: c.Info().Run, Message: fmt.Sprintf(format, args...)}
}

// Wrap is [New] with a cause.
func Wrap(c Code, cause error, format string, args ...any) *Error {
	err := New(c, format, args...)
	err.Cause = cause
	return err
}

// WithRun returns a copy of e that says run in place of the usual value.
func (e *Error) WithRun(run Run) *Error {
	dup := *e
	dup.Run = run
	return &dup
}

// WithRetry returns a copy of e that hints to try again after d.
func (e *Error) WithRetry(d clock.Millis) *Error {
	dup := *e
	dup.Retry = d
	return &dup
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s: %s", e.Code, e.Message)
	}
	return fmt.Sprintf("%s: %s: %v", e.Code, e.Message, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Is reports whether target is an [Error] of the same code, so that
// errors.Is(err, codes.New(codes.QueueFull, "")) finds it.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// From returns err as an [Error]. A context's end reads as [DeadlinePast] or
// [CallerGone]; any other foreign error reads as [Internal].
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

// Has reports whether err carries the code c.
func Has(err error, c Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == c
}
