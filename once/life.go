package once

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"sync"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
)

// life counts the book's threads, so that a stop can wait for them.
type life struct {
	mu      sync.Mutex
	ctx     context.Context
	cancel  context.CancelFunc
	threads int
	closed  bool
	// idle is closed once a closed book has no threads.
	idle chan struct{}
}

func (l *life) context() context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	return l.ctx
}

func (l *life) prepare() {
	if l.ctx == nil {
		l.ctx, l.cancel = context.WithCancel(context.Background())
		l.idle = make(chan struct{})
	}
}

// begin counts a thread. A closed book takes new ones only while others that
// may need them are left.
func (l *life) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	if l.closed && l.threads == 0 {
		return false
	}
	l.threads++
	return true
}

func (l *life) finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.threads--
	if l.closed && l.threads == 0 {
		close(l.idle)
	}
}

// close starts the end and returns a channel that is closed at the end.
func (l *life) close() (idle <-chan struct{}, cancel context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	if !l.closed && l.threads == 0 {
		close(l.idle)
	}
	l.closed = true
	return l.idle, l.cancel
}

// context is the one that the book's own work runs under.
func (b *Book) context() context.Context { return b.life.context() }

// spawn runs f in a thread of its own, unless the book is closed.
func (b *Book) spawn(f func()) bool {
	if !b.life.begin() {
		return false
	}
	go func() {
		defer b.life.finish()
		f()
	}()
	return true
}

// Close waits until every order under way has its outcome kept, or until ctx
// ends; then it gives up what is left. Rows that it gives up stay open and
// read as unknown. Its error is the context's.
func (b *Book) Close(ctx context.Context) error {
	idle, cancel := b.life.close()
	defer cancel()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
	}
	b.log().Warn("once: stopped with outcomes that are not kept", zap.Int("orders", b.Pending()))
	cancel()
	<-idle
	return ctx.Err()
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

// load bounds what the orders under way hold.
type load struct {
	mu     sync.Mutex
	orders int
	bytes  int64
}

func (l *load) add(bytes int64, maxOrders int, maxBytes int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.orders >= maxOrders || l.bytes+bytes > maxBytes {
		return false
	}
	l.orders++
	l.bytes += bytes
	return true
}

// grow adds bytes to an order that is counted already.
func (l *load) grow(bytes, maxBytes int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bytes+bytes > maxBytes {
		return false
	}
	l.bytes += bytes
	return true
}

func (l *load) remove(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders--
	l.bytes -= bytes
}

func (b *Book) limit() int {
	if b.Limit == 0 {
		return defaultLimit
	}
	return b.Limit
}

func (b *Book) limitBytes() int64 {
	if b.LimitBytes == 0 {
		return defaultLimitBytes
	}
	return b.LimitBytes
}

func (b *Book) log() *zap.Logger {
	if b.Log == nil {
		return zap.NewNop()
	}
	return b.Log
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

// Pauses between two tries of the same write.
const (
	firstPause = 20 * clock.Millis(1)
	lastPause  = 1 * clock.Second
)

// pause waits before the n-th new try: twice as long each time, with jitter
// of up to the same again, so that waiting orders don't come back at once.
func (b *Book) pause(ctx context.Context, n int) error {
	d := min(firstPause<<min(n, 10), lastPause)
	d += clock.Millis(b.draw() % uint64(d))
	if err := b.Clock.Sleep(ctx, d); err != nil {
		return codes.Wrap(codes.PlatformDown, context.Cause(ctx), "order")
	}
	return nil
}
