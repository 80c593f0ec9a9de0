package edge_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/osproc"
)

// Sizes of the tests of hostile callers.
const (
	hostileMemoryMiB = 64
	// hostileHeadBytes is max_header_bytes of the manifest.
	hostileHeadBytes = 16384
	// bytesPerDescriptor derives the bound of open descriptors from the memory limit.
	bytesPerDescriptor = 32 << 10
	// hostileTime is how long the callers send or hold what they have sent. It is shorter
	// than the time for a head.
	hostileTime = 3 * time.Second
)

// hostile is a crowd of callers of one kind.
type hostile struct {
	callers int
	// head starts what each sends. part makes the i-th of the parts that follow, without
	// end if endless, or else up to hostileHeadBytes; nil sends nothing more.
	head    string
	part    func(i int) string
	endless bool
	// ended is set if the head is complete, so that the request is in flight.
	ended bool
}

// hostileHead starts a request that the replicas run for longer than the test.
const hostileHead = "POST /slow/1 HTTP/1.1\r\nHost: h.example\r\nLacewinghook-Request-Id: hostile\r\nLacewinghook-Deadline-Ms: 9000\r\nContent-Length: 0\r\n"

// Parts of heads.
func distinctLine(i int) string { return fmt.Sprintf("%x:\n", i) }
func oddLine(i int) string {
	return fmt.Sprintf([]string{"%x:\n", "X-%x:\r\n", "Same:%x\n", "a%x: \t \r\n"}[i%4], i)
}

var (
	endlessLines = hostile{callers: 40, head: hostileHead, part: distinctLine, endless: true}
	endlessLine  = hostile{callers: 400, head: hostileHead + "X: ", part: func(int) string { return "xxxxxxxxxxxxxxxx" }, endless: true}
	halfHeads    = hostile{callers: 400, head: hostileHead, part: distinctLine}
	wholeHeads   = hostile{callers: 400, head: hostileHead, part: distinctLine, ended: true}
	oddHeads     = hostile{callers: 400, head: hostileHead, part: oddLine, ended: true}
	emptyLines   = hostile{callers: 200, part: func(int) string { return "\r\n" }, endless: true}
)

// hostileCrowds are the crowds of the tests. The numbers and bounds were fixed on code that
// had no bound, where each kind but "empty lines" exceeded one.
var hostileCrowds = map[string][]hostile{
	"distinct lines without end": {endlessLines},
	"one line without end":       {endlessLine},
	"legal heads not ended":      {halfHeads},
	"legal heads in flight":      {wholeHeads},
	"odd heads in flight":        {oddHeads},
	"empty lines":                {emptyLines},
	"idle connections":           {{callers: 2500}},
	"all of these":               {endlessLines, endlessLine, halfHeads, wholeHeads, oddHeads, emptyLines},
}

// text returns what a caller sends if it isn't endless.
func (h hostile) text() []byte {
	var b bytes.Buffer
	b.WriteString(h.head)
	for i := 0; h.part != nil; i++ {
		part := h.part(i)
		if b.Len()+len(part)+len("\r\n") > hostileHeadBytes {
			break
		}
		b.WriteString(part)
	}
	if h.ended {
		b.WriteString("\r\n")
	}
	return b.Bytes()
}

// send opens a connection, sends what the crowd sends until it is closed or ctx ends, and
// holds the connection until then. It reports whether a connection was opened.
func (h hostile) send(ctx context.Context, addr string, text []byte) bool {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	// An error of a write or read means that the entry has closed the connection, which is
	// allowed, or that ctx has ended.
	if !h.endless {
		_, _ = c.Write(text)
		_, _ = io.Copy(io.Discard, c)
		return true
	}
	_, err = io.WriteString(c, h.head)
	for i := 0; err == nil; {
		var b bytes.Buffer
		for b.Len() < 16<<10 {
			b.WriteString(h.part(i))
			i++
		}
		_, err = c.Write(b.Bytes())
	}
	return true
}

// openFiles returns the number of open descriptors of a process.
func openFiles(p *osproc.Process) int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
	if err != nil {
		return 0
	}
	return len(list)
}

// startHostile starts a site, and an entry as a process with a small memory limit.
func startHostile(t *testing.T, dir string) (*site, *runningEntry, *osproc.Process) {
	s := newSite(t)
	s.publish(2, 10000, goodRoute)
	s.replica("good", "good", "")
	for _, r := range s.services {
		r.Work = func(string) time.Duration { return 2 * hostileTime }
	}
	e, proc := s.startProcessWith(dir, hostileMemoryMiB)
	s.until("the manifest is in force", func() bool {
		got := e.do(context.Background(), callerRequest{id: "first", path: "/good/1"})
		return got.err == nil && got.status == http.StatusOK
	})
	return s, e, proc
}

// TestHostileCallers guards against a process that ends, or exceeds the memory or the
// descriptors of its machine, because of what callers send before their requests run.
func TestHostileCallers(t *testing.T) {
	dir := t.TempDir()
	is.New(t).NoErr(osproc.Build(context.Background(), dir))
	for name, crowds := range hostileCrowds {
		t.Run(name, func(t *testing.T) {
			s, e, proc := startHostile(t, dir)
			before := proc.PeakMemory()
			ctx, cancel := context.WithTimeout(context.Background(), hostileTime)
			defer cancel()
			var callers sync.WaitGroup
			var opened atomic.Int64
			for _, crowd := range crowds {
				text := crowd.text()
				for range crowd.callers {
					callers.Go(func() {
						// A caller whose connection is closed comes back.
						for ctx.Err() == nil {
							if crowd.send(ctx, e.settings.Callers.Listen, text) {
								opened.Add(1)
							}
							time.Sleep(10 * time.Millisecond)
						}
					})
				}
			}
			files := 0
			for ctx.Err() == nil {
				files = max(files, openFiles(proc))
				time.Sleep(20 * time.Millisecond)
			}
			callers.Wait()
			s.checkHostile(e, proc, before, files, opened.Load())
		})
	}
}

// checkHostile checks that the process lives within its bounds and answers one ordinary
// request.
func (s *site) checkHostile(e *runningEntry, proc *osproc.Process, before int64, files int, opened int64) {
	s.t.Helper()
	is := is.New(s.t)
	s.until("an ordinary request is answered", func() bool {
		got := e.do(context.Background(), callerRequest{id: "ordinary", path: "/good/1", body: "short"})
		return got.err == nil && got.status == http.StatusOK
	})
	peak := proc.PeakMemory()
	s.t.Logf("memory %d MiB, %d MiB before; %d descriptors; %d connections opened", peak>>20, before>>20, files, opened)
	is.True(peak > 0) // the process runs
	is.True(peak < hostileMemoryMiB<<20)
	is.True(files < hostileMemoryMiB<<20/bytesPerDescriptor)
}

// TestHeadOfManyLines guards against a bound that a single request of the allowed size
// meets although nothing else is held.
func TestHeadOfManyLines(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(osproc.Build(context.Background(), dir))
	_, e, _ := startHostile(t, dir)
	h := hostile{
		head: "POST /good/1 HTTP/1.1\r\nHost: h.example\r\nLacewinghook-Request-Id: lines\r\nLacewinghook-Deadline-Ms: 4000\r\nContent-Length: 0\r\nConnection: close\r\n",
		part: distinctLine, ended: true,
	}
	text := string(h.text())
	// The last line takes what is left of the size.
	if left := hostileHeadBytes - len(text); left > 0 {
		text = strings.TrimSuffix(text, "\n\r\n") + strings.Repeat("x", left) + "\n\r\n"
	}
	is.Equal(len(text), hostileHeadBytes)
	for range 3 {
		c, err := net.Dial("tcp", e.settings.Callers.Listen)
		is.NoErr(err)
		_, err = io.WriteString(c, text)
		is.NoErr(err)
		answer, err := io.ReadAll(c)
		is.NoErr(err)
		is.NoErr(c.Close())
		is.True(strings.HasPrefix(string(answer), "HTTP/1.1 200 "))
	}
}
