package edge_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/osproc"
	"lacewinghook.example/lacewinghook/trial"
)

// Sizes of the tests of hostile callers.
const (
	hostileMemoryMiB = 64
	// bytesPerDescriptor derives the bound of open descriptors from the memory limit.
	bytesPerDescriptor = 32 << 10
	// hostileTime is how long the callers send or hold what they have sent. It is shorter
	// than the time for a head.
	hostileTime = 3 * time.Second
)

// hostileHead starts a request that the replicas run for longer than the test.
const hostileHead = "POST /slow/1 HTTP/1.1\r\nHost: h.example\r\nLacewinghook-Request-Id: hostile\r\nLacewinghook-Deadline-Ms: 9000\r\nContent-Length: 0\r\n"

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
	for name, crowds := range trial.Crowds(hostileHead) {
		t.Run(name, func(t *testing.T) {
			s, e, proc := startHostile(t, dir)
			before := proc.PeakMemory()
			ctx, cancel := context.WithTimeout(context.Background(), hostileTime)
			defer cancel()
			opened, files := proc.RunCrowds(ctx, map[string][]trial.Crowd{e.settings.Callers.Listen: crowds})
			s.checkHostile(e, proc, before, files, opened)
		})
	}
}

// checkHostile checks that the process lives within its bounds and answers one ordinary
// request.
func (s *site) checkHostile(e *runningEntry, proc *osproc.Process, before int64, files, opened int) {
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
	h := trial.Crowd{
		Head: "POST /good/1 HTTP/1.1\r\nHost: h.example\r\nLacewinghook-Request-Id: lines\r\nLacewinghook-Deadline-Ms: 4000\r\nContent-Length: 0\r\nConnection: close\r\n",
		Part: trial.DistinctLine, Ended: true,
	}
	text := string(h.Text())
	// The last line takes what is left of the size.
	if left := trial.HeadBytes - len(text); left > 0 {
		text = strings.TrimSuffix(text, "\n\r\n") + strings.Repeat("x", left) + "\n\r\n"
	}
	is.Equal(len(text), trial.HeadBytes)
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
