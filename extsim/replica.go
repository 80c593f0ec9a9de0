package extsim

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

// Fault is a failure that a [Replica] can inject into a request.
type Fault string

// Faults to inject with [Replica.InjectFault].
const (
	// Reject answers 503 and marks the request as not executed.
	Reject Fault = "shed"
	// CutAnswer runs the request and resets the connection in the middle of
	// the answer.
	CutAnswer Fault = "cut"
	// LoseAnswer runs the request and resets the connection before the answer.
	LoseAnswer Fault = "lose"
	// Hang runs the request and never answers.
	Hang Fault = "mute"
	// InvalidAnswer sends bytes that are not an HTTP response.
	InvalidAnswer Fault = "garbage"
	// DuplicateAnswer sends the answer twice.
	DuplicateAnswer Fault = "extra"
	// NoContentLength answers without a Content-Length and closes the
	// connection.
	NoContentLength Fault = "unframed"
	// ServerError answers 500 with a replica signature.
	ServerError Fault = "fails"
	// Unsigned answers 200 without a replica signature.
	Unsigned Fault = "unsigned"
	// Crash stops the replica while it runs the request.
	Crash Fault = "crash"
	// EarlyAnswer answers before the body has arrived and reads it afterwards.
	EarlyAnswer Fault = "early"
	// HandleGone rejects a request with a KV source, as if the handle no
	// longer existed.
	HandleGone Fault = "nohandle"
)

// Replica simulates one replica of the platform.
type Replica struct {
	ID, Addr, Service, Phase string
	// EventCount is the number of events of a stream, EventInterval the time
	// between two of them.
	EventCount    int
	EventInterval time.Duration
	// Body is the response body of a plain service.
	Body string

	mu            sync.Mutex
	server        *httptest.Server
	faults        map[Fault]int  // remaining occurrences
	runs          map[string]int // by request ID
	ranIDs        []string
	prefills      int
	freedHandles  []string
	takenHolds    int
	droppedHolds  int
	canceledRuns  int
	corruptBodies int
	handles       map[string]bool
	headers       []http.Header
	stopped       chan struct{} // closed by Stop
}

// NewReplica starts a replica and stops it at the end of the test. phase is
// empty for a plain service.
func NewReplica(t *testing.T, id, service, phase string) *Replica {
	r := &Replica{
		ID: id, Service: service, Phase: phase, EventCount: 4, EventInterval: time.Millisecond, Body: "answer of " + id,
		faults: make(map[Fault]int), runs: make(map[string]int), handles: make(map[string]bool), stopped: make(chan struct{}),
	}
	r.server = httptest.NewServer(r)
	r.Addr = strings.TrimPrefix(r.server.URL, "http://")
	t.Cleanup(r.Stop)
	return r
}

// Stop closes the listener and all connections at once, like a process that
// exits. Further calls do nothing.
func (r *Replica) Stop() {
	r.mu.Lock()
	select {
	case <-r.stopped:
		r.mu.Unlock()
		return
	default:
	}
	// Close the listener first: when a process exits, it accepts no new
	// connection by the time its callers see their connections break.
	_ = r.server.Listener.Close()
	close(r.stopped)
	r.mu.Unlock()
	r.server.CloseClientConnections()
	r.server.Close()
}

// CloseConnections closes all open connections, as an idle timeout does.
func (r *Replica) CloseConnections() { r.server.CloseClientConnections() }

// Row returns the JSON row that the replica publishes about itself in the
// servers table.
func (r *Replica) Row(state string) string {
	phase := ""
	if r.Phase != "" {
		phase = fmt.Sprintf(`,"phase":%q,"models":[{"name":"m","version":1,"adapters":[]}]`, r.Phase)
	}
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"moose-jaw","version":"v1","slots":64,"state":%q,"cold_left_ms":0,"seq_no":4,"born":1700000000000%s}`,
		r.Service, r.Addr, state, phase)
}

// InjectFault applies f to the next n requests that it can affect.
func (r *Replica) InjectFault(f Fault, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[f] = n
}

// RunCount returns how often the request with this ID has run.
func (r *Replica) RunCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// Counts holds the counters of a [Replica].
type Counts struct {
	// Runs counts executed requests, Prefills separate prefill requests,
	// FreedHandles released KV handles, TakenHolds and DroppedHolds the holds
	// that were granted and released, CanceledRuns the runs whose caller
	// disconnected.
	Runs, Prefills, FreedHandles, TakenHolds, DroppedHolds, CanceledRuns int
	// CorruptBodies counts bodies with content that the caller didn't send.
	CorruptBodies int
}

// Counts returns the current counters.
func (r *Replica) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Counts{Runs: len(r.ranIDs), Prefills: r.prefills, FreedHandles: len(r.freedHandles), TakenHolds: r.takenHolds, DroppedHolds: r.droppedHolds, CanceledRuns: r.canceledRuns, CorruptBodies: r.corruptBodies}
}

// RequestHeaders returns the headers of all requests received so far, except
// those answered early.
func (r *Replica) RequestHeaders() []http.Header {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]http.Header(nil), r.headers...)
}

// takeFault reports whether f applies to this request and uses up one
// occurrence of it.
func (r *Replica) takeFault(f Fault) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults[f] <= 0 {
		return false
	}
	r.faults[f]--
	return true
}

// ServeHTTP implements [http.Handler]: it handles control calls, prefill
// requests and requests to execute, under the injected faults.
func (r *Replica) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	if r.takeFault(EarlyAnswer) {
		r.answerEarly(w, hr)
		return
	}
	body, _ := io.ReadAll(hr.Body)
	id := hr.Header.Get("Lacewinghook-Request-Id")
	r.mu.Lock()
	r.headers = append(r.headers, hr.Header.Clone())
	r.mu.Unlock()
	if want := hr.Header.Get("Lacewinghook-Expect-Replica"); want != "" && want != r.ID {
		w.Header().Set("Lacewinghook-Replica-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.serveControl(w, hr, body) {
		return
	}
	w.Header().Set("Lacewinghook-Request-Id", id)
	if id == "" || r.takeFault(Reject) {
		w.Header().Set("Lacewinghook-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if hr.Header.Get("Lacewinghook-Phase") == "prefill" {
		r.servePrefill(w, hr, id)
		return
	}
	if from := hr.Header.Get("Lacewinghook-Kv-Source"); from != "" && r.takeFault(HandleGone) {
		w.Header().Set("Lacewinghook-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.mu.Lock()
	r.runs[id]++
	r.ranIDs = append(r.ranIDs, id)
	r.mu.Unlock()
	r.execute(w, hr, id, string(body))
}

// serveControl handles the calls that release KV handles and take or drop
// holds. It returns false for any other call.
func (r *Replica) serveControl(w http.ResponseWriter, hr *http.Request, body []byte) bool {
	path := hr.Method + " " + hr.URL.Path
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case strings.HasPrefix(path, "DELETE /kv-handle/"):
		handle := strings.TrimPrefix(hr.URL.Path, "/kv-handle/")
		r.freedHandles = append(r.freedHandles, handle)
		delete(r.handles, handle)
	case path == "POST /hold-take":
		var request map[string]int
		if json.Unmarshal(body, &request) != nil || request["tokens"] <= 0 || request["ttl_ms"] <= 0 {
			w.WriteHeader(http.StatusBadRequest)
			return true
		}
		if r.faults[Reject] > 0 {
			r.faults[Reject]--
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
		r.takenHolds++
		fmt.Fprintf(w, `{"retain":"h%d"}`, r.takenHolds)
	case strings.HasPrefix(path, "DELETE /hold-drop/"):
		r.droppedHolds++
	default:
		return false
	}
	return true
}

// hang blocks until the caller disconnects or the replica stops, then resets
// the connection.
func (r *Replica) hang(hr *http.Request) {
	select {
	case <-r.stopped:
	case <-hr.Context().Done():
		r.mu.Lock()
		r.canceledRuns++
		r.mu.Unlock()
	}
	panic(http.ErrAbortHandler)
}

// servePrefill handles a separate prefill request and returns a KV handle.
func (r *Replica) servePrefill(w http.ResponseWriter, hr *http.Request, id string) {
	if r.Phase != "prefill" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.takeFault(Hang) {
		r.hang(hr)
	}
	r.mu.Lock()
	r.prefills++
	handle := fmt.Sprintf("kv%d", r.prefills)
	r.handles[handle] = true
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"handle":%q,"tokens":100,"version":1}`, handle)
}

// execute answers a request that runs, under the injected faults.
func (r *Replica) execute(w http.ResponseWriter, hr *http.Request, id, body string) {
	h := w.Header()
	h.Set("Lacewinghook-Replica-Signature", "sig."+id)
	switch {
	case r.takeFault(Crash):
		go r.Stop()
		<-r.stopped
		panic(http.ErrAbortHandler)
	case r.takeFault(LoseAnswer):
		panic(http.ErrAbortHandler)
	case r.takeFault(Hang):
		r.hang(hr)
	case r.takeFault(ServerError):
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed")
		return
	case r.takeFault(Unsigned):
		h.Del("Lacewinghook-Replica-Signature")
	case r.takeFault(InvalidAnswer):
		r.writeRaw(w, "this is no answer\r\n\r\n", false)
		return
	case r.takeFault(NoContentLength):
		r.writeRaw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nLacewinghook-Request-Id: %s\r\nLacewinghook-Replica-Signature: sig.%s\r\n\r\n%s", id, id, r.Body), false)
		return
	case r.takeFault(DuplicateAnswer):
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nLacewinghook-Request-Id: %s\r\nLacewinghook-Replica-Signature: sig.%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(r.Body), r.Body)
		r.writeRaw(w, response+response, true)
		return
	}
	if r.Phase != "" {
		r.streamEvents(w, hr, id)
		return
	}
	if r.takeFault(CutAnswer) {
		h.Set("Content-Length", fmt.Sprint(len(r.Body)+10))
		_, _ = io.WriteString(w, r.Body)
		panic(http.ErrAbortHandler)
	}
	h.Set("Seen-Path", hr.RequestURI)
	h.Set("Seen-Body", body)
	_, _ = io.WriteString(w, r.Body)
}

// writeRaw writes text to the hijacked connection. If keep is set, the
// connection stays open until the replica stops; otherwise the write side
// closes at once and the rest after a second.
func (r *Replica) writeRaw(w http.ResponseWriter, text string, keep bool) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, text)
	if keep {
		go func() {
			<-r.stopped
			_ = c.Close()
		}()
		return
	}
	_ = c.(*net.TCPConn).CloseWrite()
	time.AfterFunc(time.Second, func() { _ = c.Close() })
}

// earlyReadDelay is the time between an early answer and reading the body.
const earlyReadDelay = 50 * time.Millisecond

// answerEarly answers before it reads the body. Tests send a body of the
// letter x only, so that any other byte counts as corruption.
func (r *Replica) answerEarly(w http.ResponseWriter, hr *http.Request) {
	id := hr.Header.Get("Lacewinghook-Request-Id")
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	w.Header().Set("Lacewinghook-Request-Id", id)
	w.Header().Set("Lacewinghook-Replica-Signature", "sig."+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(r.Body)))
	_, _ = io.WriteString(w, r.Body)
	_ = control.Flush()
	time.Sleep(earlyReadDelay)
	// A truncated body is not corrupt, so the read error is ignored.
	got, _ := io.ReadAll(hr.Body)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.ranIDs = append(r.ranIDs, id)
	if strings.Trim(string(got), "x") != "" {
		r.corruptBodies++
	}
}

// streamEvents sends the events that follow the caller's Last-Event-Id. With
// CutAnswer it resets the connection within the third event sent.
func (r *Replica) streamEvents(w http.ResponseWriter, hr *http.Request, id string) {
	from := 0
	if last := hr.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscanf(last, "%d", &from)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	cut := r.takeFault(CutAnswer)
	for n := from + 1; n <= r.EventCount; n++ {
		if cut && n == from+3 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: to", n)
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token%d\n\n", n, n)
		_ = controller.Flush()
		select {
		case <-time.After(r.EventInterval):
		case <-hr.Context().Done():
			r.mu.Lock()
			r.canceledRuns++
			r.mu.Unlock()
			return
		}
	}
}
