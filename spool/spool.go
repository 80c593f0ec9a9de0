package spool

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// DefaultMax is the bound of a pool, in bytes, if Max is zero.
const DefaultMax = 16 << 20

// Sizes of a buffer's blocks in bytes. Most buffers hold a part of one short event, or
// one short body.
const (
	minBlock = 512
	maxBlock = 16 << 10
	// maxReserved is the largest block of bytes that were reserved.
	maxReserved = 64 << 10
)

// evictedShare is the fraction of a pool's Max that may be held beside it by buffers that
// were told to give way, unless it is one alone.
const evictedShare = 0.5

// ErrFull is returned to the buffer that must give way.
var ErrFull = errors.New("too many bytes are held, most of them here")

// Pool bounds the bytes of its buffers. It holds at most Max bytes, half as many, or one
// buffer, that were told to give way and have not been reset yet, and one lasting buffer
// that would not fit into an empty pool. The zero value is ready to use.
type Pool struct {
	// Max is in bytes; zero means DefaultMax.
	Max int64

	// One lock, since the sum and the largest buffer are those of all. It is taken
	// for each block, not for each byte.
	mu sync.Mutex
	// used is the sum of the buffers that have not been told to give way, but for the
	// oversized one, and evicting that of those that have.
	used, evicting int64
	// oversized is the lasting buffer that would not fit into an empty pool, nil if
	// there is none.
	oversized *Buffer
	buffers   map[*Buffer]struct{}
	// changed is closed when a buffer is told to give way or is reset; nil if none waits.
	changed chan struct{}
}

// Used returns the bytes that are held.
func (p *Pool) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	used := p.used + p.evicting
	if p.oversized != nil {
		used += p.oversized.held
	}
	return used
}

// max returns Max or its default.
func (p *Pool) max() int64 {
	if p.Max > 0 {
		return p.Max
	}
	return DefaultMax
}

// reserve adds n bytes to b. If the pool is full, the largest buffers give way. It
// returns ErrFull if b is the largest, or has been told to give way. While too much was
// told to give way and has not been reset, only a buffer within an equal share waits.
func (p *Pool) reserve(b *Buffer, n int64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A lasting buffer leaves as much room as it takes, so that a few large ones don't
	// keep out all others.
	spare := int64(0)
	if b.Lasting {
		spare = b.held + n
	}
	if b.Lasting && p.oversized == nil && !b.evicted.Load() && b.held+n+spare > p.max() {
		p.used -= b.held
		p.oversized = b
	}
	if p.oversized == b {
		p.add(b, n)
		return nil
	}
	for !b.evicted.Load() && p.used+n+spare > p.max() {
		largest := p.largest(b, b.held+n)
		if largest == nil {
			return ErrFull
		}
		if p.evicting == 0 || p.evicting+largest.held <= int64(float64(p.max())*evictedShare) {
			p.evict(largest)
			continue
		}
		if b.Done == nil || !p.withinShare(b, n) || !p.await(b.Done) {
			return ErrFull
		}
	}
	if b.evicted.Load() {
		return ErrFull
	}
	p.used += n
	p.add(b, n)
	return nil
}

// add counts n more bytes of b.
func (p *Pool) add(b *Buffer, n int64) {
	if p.buffers == nil {
		p.buffers = make(map[*Buffer]struct{})
	}
	p.buffers[b] = struct{}{}
	b.held += n
}

// largest returns the largest buffer but b that may give way and holds more than size, nil
// if there is none. p.mu is held.
func (p *Pool) largest(b *Buffer, size int64) *Buffer {
	var largest *Buffer
	for other := range p.buffers {
		if other == b || other.evicted.Load() || other.pinned || other == p.oversized {
			continue
		}
		if other.held > size {
			largest, size = other, other.held
		}
	}
	return largest
}

// evict tells a buffer to give way. p.mu is held.
func (p *Pool) evict(b *Buffer) {
	b.evicted.Store(true)
	p.used -= b.held
	p.evicting += b.held
	if b.Evict != nil {
		b.Evict()
	}
	p.wake()
}

// withinShare reports whether b holds an equal share of the pool at most with n bytes more.
// p.mu is held.
func (p *Pool) withinShare(b *Buffer, n int64) bool {
	buffers := int64(len(p.buffers))
	if b.held == 0 {
		buffers++
	}
	return (b.held+n)*buffers <= p.max()
}

// await waits until the state of a buffer has changed, without the lock. It returns false
// once done is closed. p.mu is held.
func (p *Pool) await(done <-chan struct{}) bool {
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	changed := p.changed
	p.mu.Unlock()
	defer p.mu.Lock()
	select {
	case <-changed:
		return true
	case <-done:
		return false
	}
}

// wake wakes all that wait. p.mu is held.
func (p *Pool) wake() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// pin marks b, or returns ErrFull if it has been told to give way.
func (p *Pool) pin(b *Buffer) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.evicted.Load() {
		return ErrFull
	}
	b.pinned = true
	return nil
}

// release takes all bytes of b from the sum.
func (p *Pool) release(b *Buffer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case b == p.oversized:
		p.oversized = nil
	case b.evicted.Load():
		p.evicting -= b.held
	default:
		p.used -= b.held
	}
	b.held, b.pinned = 0, false
	b.evicted.Store(false)
	delete(p.buffers, b)
	p.wake()
}

// Buffer holds bytes in order. Without a Pool it has no bound. It must not be copied
// after its first use; one goroutine uses it at a time. The zero value is ready to use.
type Buffer struct {
	Pool *Pool
	// Evict, if not nil, is called when the buffer must give way. It must not block,
	// nor use the buffer or the pool.
	Evict func()
	// Lasting is set if the bytes are kept once they are complete. As many must then be
	// left to other buffers. It must not change while the buffer holds bytes.
	Lasting bool
	// Done, if not nil, lets a Write wait for buffers that were told to give way and are
	// not reset yet, until it is closed. Without it the Write fails.
	Done <-chan struct{}

	blocks [][]byte
	size   int
	// reserved is the number of bytes that the pool has granted and that are in no block.
	reserved int64
	// counted is set once the pool has granted bytes.
	counted bool
	// held and pinned are guarded by the lock of Pool, as are changes of evicted.
	held    int64
	pinned  bool
	evicted atomic.Bool
}

// Len returns the number of bytes.
func (b *Buffer) Len() int { return b.size }

// Reserve takes room for n bytes that will follow. If it fails, nothing is reserved.
func (b *Buffer) Reserve(n int64) error {
	if b.Pool != nil && n > 0 {
		if err := b.Pool.reserve(b, n); err != nil {
			return err
		}
		b.counted = true
	}
	b.reserved += n
	return nil
}

// Pin keeps the buffer from being told to give way from now on, until it is reset. It
// fails if the buffer has been told so.
func (b *Buffer) Pin() error {
	if !b.counted {
		return nil
	}
	return b.Pool.pin(b)
}

// full reports whether the last block has no unused part.
func (b *Buffer) full() bool {
	last := len(b.blocks) - 1
	return last < 0 || len(b.blocks[last]) == cap(b.blocks[last])
}

// space returns the unused part of the last block, or of a new one for about want bytes if
// there is none.
func (b *Buffer) space(want int) ([]byte, error) {
	if b.full() {
		n := min(b.reserved, maxReserved)
		if n > 0 {
			b.reserved -= n
		} else {
			n = int64(min(max(minBlock, b.size, want), maxBlock))
			if b.Pool != nil {
				if err := b.Pool.reserve(b, n); err != nil {
					return nil, err
				}
				b.counted = true
			}
		}
		b.blocks = append(b.blocks, make([]byte, 0, n))
	}
	block := b.blocks[len(b.blocks)-1]
	return block[len(block):cap(block)], nil
}

// extend adds the first n bytes of the result of space to the contents.
func (b *Buffer) extend(n int) {
	last := len(b.blocks) - 1
	b.blocks[last] = b.blocks[last][:len(b.blocks[last])+n]
	b.size += n
}

// Write appends a copy of p. If it fails, the buffer holds a part of p at most.
func (b *Buffer) Write(p []byte) error {
	for len(p) > 0 {
		space, err := b.space(len(p))
		if err != nil {
			return err
		}
		n := copy(space, p)
		b.extend(n)
		p = p[n:]
	}
	return nil
}

// ReadFrom appends what r holds up to its end. It implements [io.ReaderFrom].
func (b *Buffer) ReadFrom(r io.Reader) (int64, error) {
	var total int64
	// The end of r is often found by a read after the last byte, for which no block is
	// needed.
	var probe [1]byte
	for {
		probing := b.reserved == 0 && b.full()
		space := probe[:]
		if !probing {
			var err error
			if space, err = b.space(0); err != nil {
				return total, err
			}
		}
		n, err := r.Read(space)
		total += int64(n)
		if !probing {
			b.extend(n)
		} else if err := b.Write(probe[:n]); err != nil {
			return total, err
		}
		switch {
		case errors.Is(err, io.EOF):
			return total, nil
		case err != nil:
			return total, err
		case b.evicted.Load():
			return total, ErrFull
		}
	}
}

// Blocks returns the bytes in order. They must not be changed, and are valid also after
// Reset.
func (b *Buffer) Blocks() [][]byte { return b.blocks }

// Each calls f with the bytes in order, block by block, up to the first error.
func (b *Buffer) Each(f func(p []byte) error) error {
	for _, block := range b.blocks {
		if err := f(block); err != nil {
			return err
		}
	}
	return nil
}

// Reset drops all bytes.
func (b *Buffer) Reset() {
	b.blocks, b.size, b.reserved = nil, 0, 0
	if b.counted {
		b.counted = false
		b.Pool.release(b)
	}
}
