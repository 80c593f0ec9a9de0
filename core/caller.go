package core

import (
	"context"
	"time"

	"lacewinghook.example/lacewinghook/clock"
)

// Caller is the connection of a request's caller.
type Caller interface {
	// PeerClosed reports whether this host has received the end of what the caller sends.
	// It must not block.
	PeerClosed() bool
	// SinceReceived returns the time since this host last received data of the caller, or
	// zero if that isn't known.
	SinceReceived() clock.Millis
}

// callerKey is the context key of the [Caller], and leaveKey that of the function that
// ends the contexts of its request.
type (
	callerKey struct{}
	leaveKey  struct{}
)

// WithCaller returns a copy of ctx with the connection of the request's caller.
func WithCaller(ctx context.Context, c Caller) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

// WithLeave returns a copy of ctx on which [CheckCaller] calls leave once it finds that the
// caller has left. leave must end ctx.
func WithLeave(ctx context.Context, leave context.CancelFunc) context.Context {
	return context.WithValue(ctx, leaveKey{}, leave)
}

// SinceReceived returns the time since this host last received data of the caller of ctx,
// or zero if that isn't known. After the header of a request was read, it's how long the
// request has waited to be read, at least.
func SinceReceived(ctx context.Context) clock.Millis {
	if c, ok := ctx.Value(callerKey{}).(Caller); ok {
		return c.SinceReceived()
	}
	return 0
}

// CheckCaller returns an error if ctx has ended, its deadline has passed or its caller has
// closed its side of the connection. It asks the clock and the kernel: the goroutines that
// end ctx may run much later on a busy machine. It is called before each step that costs an
// upstream something. Afterwards ctx has ended too if the caller has left.
func CheckCaller(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	c, ok := ctx.Value(callerKey{}).(Caller)
	if !ok || !c.PeerClosed() {
		return nil
	}
	if leave, ok := ctx.Value(leaveKey{}).(context.CancelFunc); ok {
		leave()
	}
	return context.Canceled
}
