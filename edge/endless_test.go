package edge_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/extsim"
)

// entryMemoryMiB is the memory of the smallest machine of large/, and heapBytes the part
// of it for the Go heap.
const (
	entryMemoryMiB = 112
	heapBytes      = entryMemoryMiB << 20 * 6 / 10
)

// slowEvent is the answer of which the rest comes byte by byte, so that all are held at
// the same time, to their deadline at most.
const slowEvent = "a long event that goes on slowly"

// slowEventData is most of that event. The replicas share it, since the test measures the
// heap of a process in which they run as well.
var slowEventData = bytes.Repeat([]byte("x"), 900<<10)

// endlessAnswers are answers of which the rest never ends. Those on the route /verse/ are
// sent in chunks, since streams that end with their connection are forwarded like those
// that may be resumed.
var endlessAnswers = map[string]struct {
	path       string
	text, rest string
}{
	"one event":                   {"/long/far/1", eventsBetween(1, 2, "\n") + "id: 3\ndata: ", "x"},
	"one event, not resumable":    {"/verse/1", eventsBetween(1, 2, "\n") + "id: 3\ndata: ", "x"},
	slowEvent:                     {"/long/far/1", "id: 1\ndata: ", "x"},
	"lines of one event":          {"/long/far/1", eventsBetween(1, 2, "\n") + "id: 3\n", "data: x\n"},
	"text":                        {"/long/far/1", eventsBetween(1, 2, "\n"), "x"},
	"text, not resumable":         {"/verse/1", eventsBetween(1, 2, "\n"), "x"},
	"comments":                    {"/long/far/1", eventsBetween(1, 2, "\n"), ": x\n\n"},
	"comments, not resumable":     {"/verse/1", eventsBetween(1, 2, "\n"), ": x\n\n"},
	"events without an ID":        {"/long/far/1", "", "data: x\n\n"},
	"more events than asked for":  {"/verse/1", "", "id: 1\ndata: x\n\n"},
	"a call":                      {"/once/1", "", "x"},
	"a call that may be repeated": {"/slow/1", "", "x"},
	"a failed stream":             {"/verse/1", "", "x"},
}

// endlessAnswer returns the answer of that name.
func endlessAnswer(name string) extsim.RawAnswer {
	c := endlessAnswers[name]
	head := []string{extsim.EventStream}
	status := 200
	if name == "a failed stream" {
		status = 500
	}
	if strings.HasPrefix(c.path, "/long/") {
		a := extsim.RawAnswer{Rest: c.rest, Text: func(id string, _ int) string { return extsim.Head(status, id, head...) + c.text }}
		if name == slowEvent {
			a.Long, a.RestPause = slowEventData, 100*time.Millisecond
		}
		return a
	}
	if status != 200 || !strings.HasPrefix(c.path, "/verse/") {
		head = nil
	}
	text := ""
	if c.text != "" {
		text = extsim.Chunk(c.text)
	}
	return extsim.RawAnswer{Rest: extsim.Chunk(strings.Repeat(c.rest, 4096/len(c.rest))), Text: func(id string, _ int) string {
		return extsim.Head(status, id, append(head, extsim.Chunked)...) + text
	}}
}

// goodRoute is the route of the other callers, to a service whose replicas are sound, and
// beside it is one for calls that may be repeated for long.
const goodRoute = `,{"name":"slow","host":"h.example","prefix":"/slow/","route_kind":"idempotent","timeout_ms":14000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2}` + `,{"name":"good","host":"h.example","prefix":"/good/","route_kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"good","max_attempts":2}`

// soundPause is the time between two requests of the other callers.
const soundPause = 10 * time.Millisecond

// deadline is how long the callers of endless answers wait.
const deadline = 10 * time.Second

// heapPeak samples the heap until the returned function is called, which returns the
// peak.
func heapPeak() (stop func() uint64) {
	var peak uint64
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapAlloc)
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return func() uint64 { close(done); <-stopped; return peak }
}

// discard sends a request and reads the answer without keeping it. err is that of the
// body.
func (r *runningEntry) discard(ctx context.Context, id, path string) (status int, size int64, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.settings.Callers.Listen+path, http.NoBody)
	if err != nil {
		return 0, 0, err
	}
	req.Host = "h.example"
	for name, value := range map[string]string{
		"Request-Id": id, "Deadline-Ms": strconv.FormatInt(deadline.Milliseconds(), 10), "Model": "m", "Token-Counts": "100,80", "Prefix-Hash": "5c1e07a2:50," + id[1:] + ":50",
	} {
		req.Header.Set("Lacewinghook-"+name, value)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	size, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, size, err
}

// TestBodiesWithoutEnd guards against an entry that runs out of memory, or serves nobody
// else, because a hundred answers at once never end. Each must be cut long before the
// deadline, and look cut to its caller.
func TestBodiesWithoutEnd(t *testing.T) {
	for name, c := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			streams := 100
			if !strings.HasPrefix(c.path, "/long/") && !strings.HasPrefix(c.path, "/verse/") || name == "a failed stream" {
				// These are cut after many bytes, for which a hundred need long.
				streams = 10
			}
			s := newSite(t)
			s.publish(2, 10000, resumeRoute+goodRoute)
			s.replica("good", "good", "")
			// A hundred short prompts fit into these.
			for i := range 2 {
				s.decode = append(s.decode, s.replica(fmt.Sprintf("more-%d", i), "verse", "decode"))
			}
			s.memory = entryMemoryMiB
			defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
			e := s.startReady()
			var script extsim.Script
			answers := make([]extsim.RawAnswer, 10*streams)
			for i := range answers {
				answers[i] = endlessAnswer(name)
			}
			script.Set(answers...)
			faulty := append(s.decode, s.services...)
			for _, r := range faulty {
				r.SetScript(&script)
			}
			runtime.GC()
			peak := heapPeak()
			start := time.Now()
			var wg sync.WaitGroup
			var complete, forwarded, slowest atomic.Int64
			for i := range streams {
				wg.Go(func() {
					status, size, err := e.discard(context.Background(), fmt.Sprintf("e%07x", i), c.path)
					forwarded.Add(size)
					if status == http.StatusOK && err == nil {
						complete.Add(1)
					}
				})
			}
			others, end := context.WithCancel(context.Background())
			var sound sync.WaitGroup
			sound.Go(func() {
				for i := 0; others.Err() == nil; i++ {
					got := e.do(context.Background(), callerRequest{id: fmt.Sprintf("s%07x", i), path: "/good/1"})
					if got.err != nil || got.status != http.StatusOK {
						t.Errorf("another caller: status %d, %v", got.status, got.err)
					}
					slowest.Store(max(slowest.Load(), got.took.Milliseconds()))
					// The logs and the replicas' records of these calls are in the measured heap.
					time.Sleep(soundPause)
				}
			})
			wg.Wait()
			took := time.Since(start)
			end()
			sound.Wait()
			heap := peak()
			t.Logf("%.1f s, heap %d MiB, %d MiB passed on, slowest other call %d ms", took.Seconds(), heap>>20, forwarded.Load()>>20, slowest.Load())
			is.Equal(complete.Load(), int64(0))
			is.True(heap < heapBytes)
			if name == slowEvent {
				is.True(took < deadline+time.Second)
			} else {
				is.True(took < deadline/2)
			}
			s.until("the connections to the replicas are closed", func() bool {
				left := int64(0)
				for _, r := range faulty {
					n, _ := r.Endless()
					left += n
				}
				return left == 0
			})
			is.True(strings.Contains(e.metricsPage(), `upstream_endless`))
		})
	}
}
