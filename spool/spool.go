package spool

import (
	"sync"

	"github.com/go-faster/errors"
)

// DefaultMax is the bound of a pool, in bytes, if Max is zero.
const DefaultMax = 16 << 20

// Sizes of a buffer's blocks in bytes. Most buffers hold a part of one short event.
const (
	minBlock = 512
	maxBlock = 16 << 10
)

// ErrFull is returned to the buffer that must give way.
var ErrFull = errors.New("too many bytes are held, most of them here")

// Pool bounds the bytes of its buffers. It holds at most Max bytes, and as many again in
// buffers that were told to give way and have not been reset yet. The zero value is
// ready to use.
type Pool struct {
	// Max is in bytes; zero means DefaultMax.
	Max int64

	// One lock, since the sum and the largest buffer are those of all. It is taken
	// for each block, not for each byte.
	mu             sync.Mutex
	used, evicting int64
	buffers        map[*Buffer]struct{}
	// changed is closed when a buffer is told to give way or is reset; nil if none waits.
	changed chan struct{}
}

// Used returns the bytes that are held.
func (p *Pool) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used + p.evicting
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
	for !b.evicted && p.used+n > p.max() {
		largest := p.largest(b, n)
		if largest == b {
			return ErrFull
		}
		if p.evicting+largest.held <= p.max() {
			p.evict(largest)
			continue
		}
		if b.Done == nil || !p.withinShare(b, n) || !p.await(b.Done) {
			return ErrFull
		}
	}
	if b.evicted {
		return ErrFull
	}
	if p.buffers == nil {
		p.buffers = make(map[*Buffer]struct{})
	}
	p.buffers[b] = struct{}{}
	b.held += n
	p.used += n
	return nil
}

// largest returns the buffer that gives way if b is to hold n bytes more; b itself if no
// other holds more than that. p.mu is held.
func (p *Pool) largest(b *Buffer, n int64) *Buffer {
	largest := b
	for other := range p.buffers {
		if !other.evicted && other.held > largest.held && other.held > b.held+n {
			largest = other
		}
	}
	return largest
}

// evict tells a buffer to give way. p.mu is held.
func (p *Pool) evict(b *Buffer) {
	b.evicted = true
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

// release takes all bytes of b from the sum.
func (p *Pool) release(b *Buffer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.evicted {
		p.evicting -= b.held
	} else {
		p.used -= b.held
	}
	b.held, b.evicted = 0, false
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
	// Done, if not nil, lets a Write wait for buffers that were told to give way and are
	// not reset yet, until it is closed. Without it the Write fails.
	Done <-chan struct{}

	blocks [][]byte
	size   int
	// held and evicted are guarded by the lock of Pool.
	held    int64
	evicted bool
}

// Len returns the number of bytes.
func (b *Buffer) Len() int { return b.size }

// Write appends a copy of p. If it fails, the buffer holds a part of p at most.
func (b *Buffer) Write(p []byte) error {
	for len(p) > 0 {
		last := len(b.blocks) - 1
		if last < 0 || len(b.blocks[last]) == cap(b.blocks[last]) {
			n := min(max(minBlock, b.size), maxBlock)
			if b.Pool != nil {
				if err := b.Pool.reserve(b, int64(n)); err != nil {
					return err
				}
			}
			b.blocks = append(b.blocks, make([]byte, 0, n))
			last++
		}
		block := b.blocks[last]
		n := min(len(p), cap(block)-len(block))
		b.blocks[last] = append(block, p[:n]...)
		b.size += n
		p = p[n:]
	}
	return nil
}

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
	if b.blocks == nil {
		return
	}
	b.blocks, b.size = nil, 0
	if b.Pool != nil {
		b.Pool.release(b)
	}
}
