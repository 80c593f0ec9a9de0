package once

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
)

// Close waits until every order under way has its outcome kept, or until ctx
// ends; then it gives up what is left. Rows that it gives up stay open and
// read as unknown. Its error is the context's.
func (b *Book) Close(ctx context.Context) error {
	err := b.tasks.Close(ctx)
	if err != nil {
		b.log().Warn("once: stopped before all outcomes were kept", zap.Error(err))
	}
	return err
}

// Pending counts the orders under way, those included whose outcome is not
// yet kept.
func (b *Book) Pending() int { return b.flights.Len() }

// Unkept counts the outcomes that are known here and not yet kept in the
// table.
func (b *Book) Unkept() int { return int(b.unkept.Load()) }

// until returns a context that ends at the instant, by the book's clock.
func (b *Book) until(ctx context.Context, instant clock.Millis) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := b.Clock.AfterFunc(instant-b.Clock.Now(), func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

func (b *Book) draw() uint64 {
	if b.Draw != nil {
		return b.Draw()
	}
	var data [8]byte
	// crypto/rand.Read never returns an error; it ends the program instead.
	_, _ = rand.Read(data[:])
	return binary.BigEndian.Uint64(data[:])
}

func (b *Book) token() string {
	return fmt.Sprintf("%016x%016x", b.draw(), b.draw())
}
