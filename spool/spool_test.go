package spool_test

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/spool"
)

// TestBytesStayInOrder checks the contents of a buffer that is written in parts.
func TestBytesStayInOrder(t *testing.T) {
	is := is.New(t)
	var b spool.Buffer
	var want, got []byte
	for n := range 300 {
		p := bytes.Repeat([]byte{byte(n)}, n)
		want = append(want, p...)
		is.NoErr(b.Write(p))
	}
	is.Equal(b.Len(), len(want))
	is.NoErr(b.Each(func(p []byte) error { got = append(got, p...); return nil }))
	is.True(bytes.Equal(got, want))
	b.Reset()
	is.Equal(b.Len(), 0)
}

// TestLargestGivesWay guards against a full pool at which the newcomers fail while
// the buffers that fill it stay.
func TestLargestGivesWay(t *testing.T) {
	is := is.New(t)
	pool := &spool.Pool{Max: 1 << 20}
	evicted := 0
	large := spool.Buffer{Pool: pool, Evict: func() { evicted++ }}
	is.NoErr(large.Write(make([]byte, 900<<10)))
	var small [20]spool.Buffer
	for i := range small {
		small[i].Pool = pool
		is.NoErr(small[i].Write(make([]byte, 40<<10)))
	}
	is.Equal(evicted, 1)
	is.True(errors.Is(large.Write(make([]byte, 64<<10)), spool.ErrFull))
	large.Reset()
	is.True(pool.Used() <= pool.Max)
	// One that holds most is refused itself.
	is.True(errors.Is(small[0].Write(make([]byte, 512<<10)), spool.ErrFull))
	for i := range small {
		small[i].Reset()
	}
	is.Equal(pool.Used(), int64(0))
}

// TestSumIsBounded writes to many buffers at once, which are reset late after they were
// told to give way.
func TestSumIsBounded(t *testing.T) {
	is := is.New(t)
	pool := &spool.Pool{Max: 1 << 20}
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			for range 20 {
				b := spool.Buffer{Pool: pool}
				for b.Len() < 1<<20 && b.Write(make([]byte, 1000)) == nil {
				}
				if used := pool.Used(); used > 2*pool.Max {
					t.Errorf("%d bytes are held", used)
				}
				b.Reset()
			}
		})
	}
	wg.Wait()
	is.Equal(pool.Used(), int64(0))
}

// TestLastingBuffersLeaveRoom checks which bodies are admitted beside those that are held,
// and that none that is complete gives way.
func TestLastingBuffersLeaveRoom(t *testing.T) {
	const length = 100 << 10
	for name, c := range map[string]struct {
		held   int // complete bodies of length before it
		next   int64
		pinned bool
		want   error
	}{
		"as much is left":               {held: 8, next: length, pinned: true},
		"less is left":                  {held: 9, next: length, pinned: true, want: spool.ErrFull},
		"a short one where less is":     {held: 9, next: 1 << 10, pinned: true},
		"a longer one":                  {held: 7, next: 2 * length, pinned: true, want: spool.ErrFull},
		"longer than the pool":          {held: 9, next: 2 << 20, pinned: true},
		"a shorter one than those read": {held: 9, next: length - 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pool := &spool.Pool{Max: 10 * length}
			evicted := 0
			held := make([]spool.Buffer, c.held)
			for i := range held {
				held[i] = spool.Buffer{Pool: pool, Lasting: true, Evict: func() { evicted++ }}
				is.NoErr(held[i].Reserve(length))
				if c.pinned {
					is.NoErr(held[i].Pin())
				}
			}
			next := spool.Buffer{Pool: pool, Lasting: true}
			is.True(errors.Is(next.Reserve(c.next), c.want))
			if c.pinned {
				is.Equal(evicted, 0)
			} else {
				is.Equal(evicted, 1)
			}
			gaveWay := 0
			for i := range held {
				if held[i].Pin() != nil {
					gaveWay++
				}
				held[i].Reset()
			}
			is.Equal(gaveWay, evicted)
			next.Reset()
			is.Equal(pool.Used(), int64(0))
		})
	}
}

// TestOneOversized checks that only one body at a time is longer than the pool.
func TestOneOversized(t *testing.T) {
	is := is.New(t)
	pool := &spool.Pool{Max: 1 << 20}
	a, b := spool.Buffer{Pool: pool, Lasting: true}, spool.Buffer{Pool: pool, Lasting: true}
	// Its length isn't known first.
	_, err := a.ReadFrom(bytes.NewReader(make([]byte, 4<<20)))
	is.NoErr(err)
	is.True(errors.Is(b.Reserve(4<<20), spool.ErrFull))
	is.NoErr(b.Reserve(256 << 10))
	a.Reset()
	b.Reset()
	is.NoErr(b.Reserve(4 << 20))
	b.Reset()
	is.Equal(pool.Used(), int64(0))
}

// TestReadFrom checks the contents of a buffer and that a body whose length was reserved
// takes no more.
func TestReadFrom(t *testing.T) {
	for _, length := range []int{0, 1, 512, 513, 100_000, 1 << 20} {
		for _, reserved := range []int{0, length} {
			t.Run(fmt.Sprint(length, "/", reserved), func(t *testing.T) {
				is := is.New(t)
				want := make([]byte, length)
				for i := range want {
					want[i] = byte(i % 251)
				}
				pool := &spool.Pool{}
				b := spool.Buffer{Pool: pool, Lasting: true}
				is.NoErr(b.Reserve(int64(reserved)))
				n, err := b.ReadFrom(iotest.OneByteReader(bytes.NewReader(want)))
				is.NoErr(err)
				is.Equal(n, int64(length))
				is.True(bytes.Equal(bytes.Join(b.Blocks(), nil), want))
				if reserved > 0 {
					is.Equal(pool.Used(), int64(length))
				}
				broken := errors.New("broken")
				_, err = b.ReadFrom(iotest.ErrReader(broken))
				is.True(errors.Is(err, broken))
				b.Reset()
				is.Equal(pool.Used(), int64(0))
			})
		}
	}
}
