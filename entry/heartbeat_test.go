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

// countedListener counts the bytes of its connections in both directions.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements [net.Listener].
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.bytes}, err
}

// countedConn adds the bytes that it reads and writes to a counter.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements [net.Conn].
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements [net.Conn].
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// mesh runs entries that only exchange heartbeats, without a platform.
type mesh struct {
	entries []*Entry
	bytes   atomic.Int64
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// newMesh starts n entries that know each other from one instance list.
func newMesh(b *testing.B, n int) *mesh {
	m := &mesh{}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
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

// run serves the peers of e and sends its heartbeats until ctx ends.
func (m *mesh) run(ctx context.Context, e *Entry) {
	m.running.Go(func() { _ = (&wire.Server{Handler: e}).Serve(ctx, e.Sockets.Peers) })
	m.running.Go(func() { e.sendHeartbeats(ctx) })
}

// BenchmarkControl measures the bandwidth and CPU time that heartbeats cost one
// entry, and the time until a state change has reached all entries.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{9, 27, 81, 330} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			const measured = 10 * clock.Second
			m := newMesh(b, n)
			defer m.running.Wait()
			defer m.cancel()
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
			defer cancel()
			// Wait until the state changes of the start have spread; a heartbeat
			// carries up to 32.
			_ = (clock.Clock{}).Sleep(ctx, 10*clock.Second+clock.Millis(n)*250)
			bytes, used := m.bytes.Load(), cpuTime()
			_ = (clock.Clock{}).Sleep(ctx, measured)
			bytes, used = m.bytes.Load()-bytes, cpuTime()-used
			seconds := float64(measured) / 1000
			b.ReportMetric(2*float64(bytes)/float64(n)/seconds, "B/s/entry")
			b.ReportMetric(100*used.Seconds()/float64(n)/seconds, "%core/entry")
			b.ReportMetric(float64(m.timeToSpread(ctx, b)), "ms-to-all")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// timeToSpread makes the first entry leave and returns the time until all
// others see it as leaving.
func (m *mesh) timeToSpread(ctx context.Context, b *testing.B) clock.Millis {
	began := clock.Clock{}.Now()
	m.entries[0].leaving.Store(true)
	m.entries[0].updateState()
	name := m.entries[0].Settings.Instance
	for !m.allSeeLeaving(name) {
		if err := (clock.Clock{}).Sleep(ctx, 1); err != nil {
			b.Fatal(err)
		}
	}
	return clock.Clock{}.Now() - began
}

// allSeeLeaving reports whether all other entries see the named entry as leaving.
func (m *mesh) allSeeLeaving(name string) bool {
	for _, e := range m.entries[1:] {
		for _, p := range e.members.Peers() {
			if p.Instance.Name == name && p.Instance.State != core.Leaving {
				return false
			}
		}
	}
	return true
}
