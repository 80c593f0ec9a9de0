package idem

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
)

// Close waits until the outcome of every in-flight order is stored. If ctx ends
// first, the rest is abandoned: their rows stay open and read as unknown, and
// Close returns the context's error.
func (ex *Executor) Close(ctx context.Context) error {
	err := ex.tasks.Close(ctx)
	if err != nil {
		ex.log().Warn("idem: stopped before all outcomes were stored", zap.Error(err))
	}
	return err
}

// Pending returns the number of in-flight orders, including those whose outcome
// is not stored yet.
func (ex *Executor) Pending() int { return ex.flights.Len() }

// Unsaved returns the number of known outcomes that are not stored in the table
// yet.
func (ex *Executor) Unsaved() int { return int(ex.unsaved.Load()) }

// contextUntil returns a context that is cancelled at the given instant of the
// executor's clock.
func (ex *Executor) contextUntil(ctx context.Context, instant clock.Millis) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := ex.Clock.AfterFunc(instant-ex.Clock.Now(), func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// random64 returns a random number from Draw or, if Draw is nil, from
// crypto/rand.
func (ex *Executor) random64() uint64 {
	if ex.Draw != nil {
		return ex.Draw()
	}
	var data [8]byte
	// crypto/rand.Read never returns an error; it crashes the program instead.
	_, _ = rand.Read(data[:])
	return binary.BigEndian.Uint64(data[:])
}

// newToken returns a random 128-bit token that identifies one attempt to claim
// a row.
func (ex *Executor) newToken() string {
	return fmt.Sprintf("%016x%016x", ex.random64(), ex.random64())
}
