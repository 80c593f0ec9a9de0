package wire_test

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/alloc"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/wire"
)

// countingListener counts the accepted connections.
type countingListener struct {
	net.Listener
	mu sync.Mutex
	n  int
}

// Accept counts a connection.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.n++
		l.mu.Unlock()
	}
	return c, err
}

// TestPlaceDoesNotBlockReports keeps placements waiting at an owner. Reports on the
// same connection must pass them, and a placement whose caller gives up must neither
// close the connection nor end the others.
func TestPlaceDoesNotBlockReports(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	counted := &countingListener{Listener: ln}
	free, reports := make(chan struct{}), make(chan alloc.Report, 1)
	s := &wire.Server{Methods: map[wire.Method]wire.MethodHandler{
		wire.MethodPlace: wire.OnPlace(func(_ context.Context, c alloc.Call) alloc.Result {
			<-free
			return alloc.Result{Choice: &alloc.Choice{Decode: c.ID, FirstToken: 7}, Grant: 3}
		}),
		wire.MethodWork: wire.OnWork(func(r alloc.Report) { reports <- r }),
	}, Blocking: []wire.Method{wire.MethodPlace}}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { stop(); wg.Wait() })
	wg.Go(func() { is.NoErr(s.Serve(ctx, counted)) })
	client := &wire.Client{}
	t.Cleanup(client.Close)
	addr := ln.Addr().String()

	type placed struct {
		r   alloc.Result
		err error
	}
	kept := make(chan placed, 1)
	go func() {
		r, err := client.Place(t.Context(), addr, alloc.Call{ID: "kept"})
		kept <- placed{r, err}
	}()
	call, cancel := context.WithCancel(t.Context())
	left := make(chan error, 1)
	go func() { _, err := client.Place(call, addr, alloc.Call{ID: "left"}); left <- err }()
	_ = clock.Clock{}.Sleep(t.Context(), 50)
	want := alloc.Report{Entry: "e", Boot: 1, Seq: 2, Loads: []alloc.Load{{Engine: "d", Requests: 1, Pieces: 6}}, Grants: []uint64{3}}
	is.NoErr(client.Report(t.Context(), addr, want))
	is.Equal(<-reports, want)
	cancel()
	is.True(<-left != nil)
	close(free)
	got := <-kept
	is.NoErr(got.err)
	is.Equal(got.r.Choice.Decode, "kept")
	is.Equal(got.r.Choice.FirstToken, clock.Millis(7))
	counted.mu.Lock()
	defer counted.mu.Unlock()
	// Both placements may have dialled, of which one connection is kept.
	is.True(counted.n <= 2)
}
