package entry

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/wire"
)

// counted counts the bytes of every connection of a listener.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// cpu returns the processor time that this process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// mesh is a number of entries that only beat each other: there is no platform.
type mesh struct {
	entries []*Entry
	bytes   atomic.Int64
	end     context.CancelFunc
	wait    sync.WaitGroup
}

func newMesh(b *testing.B, n int) *mesh {
	m := &mesh{}
	ctx, cancel := context.WithCancel(context.Background())
	m.end = cancel
	var l core.Listing
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		e := &Entry{
			Settings: &config.Settings{
				Instance: fmt.Sprintf("moose-jaw-%03d", i), Centre: "moose-jaw",
				Platform: config.Platform{Base: "http://127.0.0.1:1"},
			},
			Log:     zap.NewNop(),
			Sockets: Sockets{Callers: ln, Operators: ln, Peers: countedListener{ln, &m.bytes}},
		}
		e.prepare()
		m.entries = append(m.entries, e)
		in := e.members.Self
		in.State = core.Live
		l.Instances = append(l.Instances, in)
	}
	for _, e := range m.entries {
		e.members.ApplyList(l)
		m.run(ctx, e)
	}
	return m
}

func (m *mesh) run(ctx context.Context, e *Entry) {
	m.wait.Go(func() { _ = (&wire.Server{Handler: e}).Serve(ctx, e.Sockets.Peers) })
	m.wait.Go(func() { e.sendBeats(ctx) })
}

// BenchmarkControl measures what the heartbeats cost one entry, and how long a
// change takes to reach all.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{9, 27, 81, 330} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			const measured = 10 * clock.Second
			m := newMesh(b, n)
			defer m.wait.Wait()
			defer m.end()
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
			defer cancel()
			// The rumours of the start, 32 at a time, must have died down.
			_ = (clock.Clock{}).Sleep(ctx, 10*clock.Second+clock.Millis(n)*250)
			bytes, used := m.bytes.Load(), cpu()
			_ = (clock.Clock{}).Sleep(ctx, measured)
			bytes, used = m.bytes.Load()-bytes, cpu()-used
			seconds := float64(measured) / 1000
			b.ReportMetric(2*float64(bytes)/float64(n)/seconds, "B/s/entry")
			b.ReportMetric(100*used.Seconds()/float64(n)/seconds, "%core/entry")
			b.ReportMetric(float64(m.spread(ctx, b)), "ms-to-all")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// spread makes the first entry leave and returns how long it takes until all
// others know.
func (m *mesh) spread(ctx context.Context, b *testing.B) clock.Millis {
	began := clock.Clock{}.Now()
	m.entries[0].leaving.Store(true)
	m.entries[0].announce()
	name := m.entries[0].Settings.Instance
	for !m.know(name) {
		if err := (clock.Clock{}).Sleep(ctx, 1); err != nil {
			b.Fatal(err)
		}
	}
	return clock.Clock{}.Now() - began
}

// know reports whether all others know that the entry is leaving.
func (m *mesh) know(name string) bool {
	for _, e := range m.entries[1:] {
		for _, p := range e.members.Peers() {
			if p.Instance.Name == name && p.Instance.State != core.Leaving {
				return false
			}
		}
	}
	return true
}
