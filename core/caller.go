package core

import (
	"context"

	"lacewinghook.example/lacewinghook/clock"
)

// Caller is the connection of a request's caller.
type Caller interface {
	// SinceReceived returns the time since this host last received data of the caller, or
	// zero if that isn't known.
	SinceReceived() clock.Millis
}

// callerKey is the context key of the [Caller].
type callerKey struct{}

// WithCaller returns a copy of ctx with the connection of the request's caller.
func WithCaller(ctx context.Context, c Caller) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
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
