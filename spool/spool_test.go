package spool_test

import (
	"bytes"
	"errors"
	"sync"
	"testing"
	"testing/synctest"

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

// TestSmallWaitsForLarge guards against a small buffer that fails while large ones fill the
// pool, only since others that were told to give way are not reset yet.
func TestSmallWaitsForLarge(t *testing.T) {
	for name, c := range map[string]struct {
		held  int  // in the small buffer before, in KiB
		reset bool // the first large buffer, else done is closed
		full  bool // the small buffer fails
		waits bool
	}{
		"reset":              {reset: true, waits: true},
		"done":               {full: true, waits: true},
		"beyond equal share": {held: 260, reset: true, full: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				pool := &spool.Pool{Max: 1 << 20}
				done := make(chan struct{})
				var large [2]spool.Buffer
				for i := range large {
					large[i].Pool = pool
					is.NoErr(large[i].Write(make([]byte, 700<<10))) // the second evicts the first
				}
				small := [2]spool.Buffer{{Pool: pool}, {Pool: pool, Done: done}}
				is.NoErr(small[1].Write(make([]byte, c.held<<10)))
				is.NoErr(small[0].Write(make([]byte, (300-c.held)<<10)))
				ended, err := false, error(nil)
				go func() {
					err = small[1].Write(make([]byte, 40<<10))
					ended = true
				}()
				synctest.Wait()
				is.Equal(ended, !c.waits)
				is.True(pool.Used() <= 2*pool.Max)
				if c.reset {
					large[0].Reset()
				} else {
					close(done)
				}
				synctest.Wait()
				is.True(ended)
				is.Equal(err != nil, c.full)
				is.True(pool.Used() <= 2*pool.Max)
			})
		})
	}
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
