package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// Fault is what goes wrong with a request.
type Fault string

// The faults of a [Replica].
const (
	// Shed refuses the request, not run.
	Shed Fault = "shed"
	// CutAnswer runs the request and resets in the middle of the answer.
	CutAnswer Fault = "cut"
	// LoseAnswer runs the request and resets before the answer.
	LoseAnswer Fault = "lose"
	// Mute runs the request and never answers.
	Mute Fault = "mute"
	// Garbage sends bytes that are no answer.
	Garbage Fault = "garbage"
	// Extra answers twice.
	Extra Fault = "extra"
	// Unframed answers without a length and closes.
	Unframed Fault = "unframed"
	// Fails answers 500 with a signature.
	Fails Fault = "fails"
	// Unsigned answers 200 without a signature.
	Unsigned Fault = "unsigned"
	// Crash ends the replica while it runs the request.
	Crash Fault = "crash"
	// Early answers before the body has come, and reads it later.
	Early Fault = "early"
	// NoHandle refuses a handle as gone.
	NoHandle Fault = "nohandle"
)

// Replica stands in for one replica.
type Replica struct {
	ID, Addr, Service, Phase string
	// Events is the number of events of a stream, and Pause that between
	// them.
	Events int
	Pause  time.Duration
	// Body is the answer of a plain service.
	Body string

	mu      sync.Mutex
	server  *httptest.Server
	faults  map[Fault]int
	runs    map[string]int
	ran     []string
	reads   int
	freed   []string
	holds   int
	dropped int
	ended   int
	strange int
	handles map[string]bool
	seen    []http.Header
	quit    chan struct{}
}

// NewReplica starts a replica that ends with the test. phase is empty for a
// plain service.
func NewReplica(t *testing.T, id, service, phase string) *Replica {
	r := &Replica{
		ID: id, Service: service, Phase: phase, Events: 4, Pause: time.Millisecond, Body: "answer of " + id,
		faults: make(map[Fault]int), runs: make(map[string]int), handles: make(map[string]bool), quit: make(chan struct{}),
	}
	r.server = httptest.NewServer(r)
	r.Addr = strings.TrimPrefix(r.server.URL, "http://")
	t.Cleanup(r.Stop)
	return r
}

// Stop ends the replica at once.
func (r *Replica) Stop() {
	r.mu.Lock()
	select {
	case <-r.quit:
		r.mu.Unlock()
		return
	default:
	}
	// A process that ends takes no connection any more by the time its callers
	// see theirs break.
	_ = r.server.Listener.Close()
	close(r.quit)
	r.mu.Unlock()
	r.server.CloseClientConnections()
	r.server.Close()
}

// HangUp closes all connections, as an idle timeout does.
func (r *Replica) HangUp() { r.server.CloseClientConnections() }

// Row returns what the replica writes of itself.
func (r *Replica) Row(state string) string {
	phase := ""
	if r.Phase != "" {
		phase = fmt.Sprintf(`,"phase":%q,"models":[{"name":"m","version":1,"adapters":[]}]`, r.Phase)
	}
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"moose-jaw","version":"v1","slots":64,"state":%q,"cold_left_ms":0,"seq_no":4,"born":1700000000000%s}`,
		r.Service, r.Addr, state, phase)
}

// Fail makes the next n requests go wrong.
func (r *Replica) Fail(f Fault, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[f] = n
}

// Runs returns how often each request has run, by its id.
func (r *Replica) Runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// Counts are what a replica has seen.
type Counts struct {
	// Runs counts the requests that ran, Reads the prompts read apart, Freed
	// the handles that were freed, Ended the runs whose caller went.
	Runs, Reads, Freed, Holds, Dropped, Ended int
	// Strange counts the bodies in whose place something else came.
	Strange int
}

// Counts returns what the replica has seen.
func (r *Replica) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Counts{Runs: len(r.ran), Reads: r.reads, Freed: len(r.freed), Holds: r.holds, Dropped: r.dropped, Ended: r.ended, Strange: r.strange}
}

// Seen returns the headers of the requests that reached the replica.
func (r *Replica) Seen() []http.Header {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]http.Header(nil), r.seen...)
}

// take reports whether the fault is due.
func (r *Replica) take(f Fault) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults[f] <= 0 {
		return false
	}
	r.faults[f]--
	return true
}

// ServeHTTP implements [http.Handler].
func (r *Replica) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	if r.take(Early) {
		r.early(w, hr)
		return
	}
	body, _ := io.ReadAll(hr.Body)
	id := hr.Header.Get("Lacewinghook-Request-Id")
	r.mu.Lock()
	r.seen = append(r.seen, hr.Header.Clone())
	r.mu.Unlock()
	if want := hr.Header.Get("Lacewinghook-Expect-Replica"); want != "" && want != r.ID {
		w.Header().Set("Lacewinghook-Replica-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.control(w, hr, body) {
		return
	}
	w.Header().Set("Lacewinghook-Request-Id", id)
	if id == "" || r.take(Shed) {
		w.Header().Set("Lacewinghook-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if hr.Header.Get("Lacewinghook-Phase") == "prefill" {
		r.prefill(w, hr, id)
		return
	}
	if from := hr.Header.Get("Lacewinghook-Kv-Source"); from != "" && r.take(NoHandle) {
		w.Header().Set("Lacewinghook-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.mu.Lock()
	r.runs[id]++
	r.ran = append(r.ran, id)
	r.mu.Unlock()
	r.run(w, hr, id, string(body))
}

// control answers the calls that are no requests of callers.
func (r *Replica) control(w http.ResponseWriter, hr *http.Request, body []byte) bool {
	path := hr.Method + " " + hr.URL.Path
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case strings.HasPrefix(path, "DELETE /kv-handle/"):
		handle := strings.TrimPrefix(hr.URL.Path, "/kv-handle/")
		r.freed = append(r.freed, handle)
		delete(r.handles, handle)
	case path == "POST /hold-take":
		var ask map[string]int
		if json.Unmarshal(body, &ask) != nil || ask["tokens"] <= 0 || ask["ttl_ms"] <= 0 {
			w.WriteHeader(http.StatusBadRequest)
			return true
		}
		if r.faults[Shed] > 0 {
			r.faults[Shed]--
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
		r.holds++
		fmt.Fprintf(w, `{"retain":"h%d"}`, r.holds)
	case strings.HasPrefix(path, "DELETE /hold-drop/"):
		r.dropped++
	default:
		return false
	}
	return true
}

// mute waits until the caller goes or the replica ends, and breaks off.
func (r *Replica) mute(hr *http.Request) {
	select {
	case <-r.quit:
	case <-hr.Context().Done():
		r.mu.Lock()
		r.ended++
		r.mu.Unlock()
	}
	panic(http.ErrAbortHandler)
}

func (r *Replica) prefill(w http.ResponseWriter, hr *http.Request, id string) {
	if r.Phase != "prefill" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.take(Mute) {
		r.mute(hr)
	}
	r.mu.Lock()
	r.reads++
	handle := fmt.Sprintf("kv%d", r.reads)
	r.handles[handle] = true
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"handle":%q,"tokens":100,"version":1}`, handle)
}

func (r *Replica) run(w http.ResponseWriter, hr *http.Request, id, body string) {
	h := w.Header()
	h.Set("Lacewinghook-Replica-Signature", "sig."+id)
	switch {
	case r.take(Crash):
		go r.Stop()
		<-r.quit
		panic(http.ErrAbortHandler)
	case r.take(LoseAnswer):
		panic(http.ErrAbortHandler)
	case r.take(Mute):
		r.mute(hr)
	case r.take(Fails):
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed")
		return
	case r.take(Unsigned):
		h.Del("Lacewinghook-Replica-Signature")
	case r.take(Garbage):
		r.raw(w, "this is no answer\r\n\r\n", false)
		return
	case r.take(Unframed):
		r.raw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nLacewinghook-Request-Id: %s\r\nLacewinghook-Replica-Signature: sig.%s\r\n\r\n%s", id, id, r.Body), false)
		return
	case r.take(Extra):
		one := fmt.Sprintf("HTTP/1.1 200 OK\r\nLacewinghook-Request-Id: %s\r\nLacewinghook-Replica-Signature: sig.%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(r.Body), r.Body)
		r.raw(w, one+one, true)
		return
	}
	if r.Phase != "" {
		r.stream(w, hr, id)
		return
	}
	if r.take(CutAnswer) {
		h.Set("Content-Length", fmt.Sprint(len(r.Body)+10))
		_, _ = io.WriteString(w, r.Body)
		panic(http.ErrAbortHandler)
	}
	h.Set("Seen-Path", hr.RequestURI)
	h.Set("Seen-Body", body)
	_, _ = io.WriteString(w, r.Body)
}

// raw writes bytes to the connection and closes it, or keeps it open for a
// while.
func (r *Replica) raw(w http.ResponseWriter, text string, keep bool) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, text)
	if keep {
		go func() {
			<-r.quit
			_ = c.Close()
		}()
		return
	}
	_ = c.(*net.TCPConn).CloseWrite()
	time.AfterFunc(time.Second, func() { _ = c.Close() })
}

// earlyPause is how long the body is left unread after an early answer.
const earlyPause = 50 * time.Millisecond

// early answers at once and then reads the body, which is made of one letter.
func (r *Replica) early(w http.ResponseWriter, hr *http.Request) {
	id := hr.Header.Get("Lacewinghook-Request-Id")
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	w.Header().Set("Lacewinghook-Request-Id", id)
	w.Header().Set("Lacewinghook-Replica-Signature", "sig."+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(r.Body)))
	_, _ = io.WriteString(w, r.Body)
	_ = control.Flush()
	time.Sleep(earlyPause)
	// An end before all has come is no other body.
	got, _ := io.ReadAll(hr.Body)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.ran = append(r.ran, id)
	if strings.Trim(string(got), "x") != "" {
		r.strange++
	}
}

// stream sends the events after the one that the caller has.
func (r *Replica) stream(w http.ResponseWriter, hr *http.Request, id string) {
	from := 0
	if last := hr.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscanf(last, "%d", &from)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	cut := r.take(CutAnswer)
	for n := from + 1; n <= r.Events; n++ {
		if cut && n == from+3 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: to", n)
			_ = flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token%d\n\n", n, n)
		_ = flusher.Flush()
		select {
		case <-time.After(r.Pause):
		case <-hr.Context().Done():
			r.mu.Lock()
			r.ended++
			r.mu.Unlock()
			return
		}
	}
}
