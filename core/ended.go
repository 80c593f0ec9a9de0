package core

import "context"

// endedKey is the context key of the context that [Ended] returns.
type endedKey struct{}

// WithEnded returns a copy of ctx from which [Ended] returns ended.
func WithEnded(ctx, ended context.Context) context.Context {
	return context.WithValue(ctx, endedKey{}, ended)
}

// Ended returns a context that lasts until this process ends the request of ctx, whether
// or not its caller has closed its side of the connection. It has no deadline.
func Ended(ctx context.Context) context.Context {
	if ended, ok := ctx.Value(endedKey{}).(context.Context); ok {
		return ended
	}
	return context.Background()
}
