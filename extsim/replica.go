package extsim

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Fault is a failure that a [Replica] can inject into a request.
type Fault string

// Faults for [Replica.InjectFault].
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
	// HandleGone rejects a request with a KV source, as if its KV handle no
	// longer existed.
	HandleGone Fault = "nohandle"
	// SilentHold, SilentPrefill, SilentHead and SilentStream send nothing for
	// [Replica.Silence] and then go on: before the answer to a hold, to a prefill
	// and to a request to execute, and after the second event of a stream.
	SilentHold    Fault = "silent hold"
	SilentPrefill Fault = "silent prefill"
	SilentHead    Fault = "silent head"
	SilentStream  Fault = "silent stream"
	// SilentBody is silent in the middle of the answer of a plain service.
	SilentBody Fault = "silent body"
	// RepeatRefusal sends the last refusal on the connection once more, RepeatDelay
	// after the request has arrived and RunAfterRepeat before its run ends.
	RepeatRefusal Fault = "again"
)

// Replica simulates one replica of the platform.
type Replica struct {
	// Phase is "prefill" or "decode", or empty for a plain service.
	ID, Addr, Service, Phase string
	// EventCount is the number of events of a stream.
	EventCount int
	// EventInterval is the time between two events of a stream.
	EventInterval time.Duration
	// Silence is how long the faults SilentHold and so on last.
	Silence time.Duration
	// Body is the response body of a plain service.
	Body string
	// RepeatDelay is the delay of the fault RepeatRefusal.
	RepeatDelay time.Duration
	// Anonymous is set if refusals have no request ID.
	Anonymous bool
	// DeadlyParts crash the replica when it begins to write an answer to a request whose
	// prompt has one of them before its last part.
	DeadlyParts []string
	// OnStop, if not nil, is called by Stop once the listener is closed, before the
	// connections are.
	OnStop func()
	// Tagged is set if the body of an answer and each event of a stream hold the ID
	// of the request, see [TaggedBody] and [TaggedEvents].
	Tagged bool
	// PrefillTime is how long a prefill takes, unless its caller disconnects.
	PrefillTime time.Duration
	// Work, if not nil, returns how long a plain service runs a request with this ID.
	Work func(id string) time.Duration
	// Pace, if not nil, returns how the answer to the request with this ID is made.
	Pace func(id string) Pace

	mu            sync.Mutex
	server        *httptest.Server
	faults        map[Fault]int  // remaining occurrences
	runs          map[string]int // by request ID
	executedIDs   []string
	runLog        []Run
	grants        []Grant
	returned      map[string]bool // names of grants that were used or released
	prefills      int
	freedHandles  []string
	grantedHolds  int
	releasedHolds int
	canceledRuns  int
	corruptBodies int
	repeats       int
	handles       map[string]bool
	headers       []http.Header
	notices       notices
	script        *Script
	stopped       chan struct{} // closed by Stop

	// endless counts the answers with endless bytes that are being sent, and
	// endlessBytes the bytes of all so far.
	endless, endlessBytes atomic.Int64
}

// NewReplica starts a replica and stops it at the end of the test. phase is
// empty for a plain service.
func NewReplica(t *testing.T, id, service, phase string) *Replica {
	r := StartReplica(id, service, phase)
	t.Cleanup(r.Stop)
	return r
}

// StartReplica starts a replica. phase is empty for a plain service. The fields
// may be changed before the first request arrives.
func StartReplica(id, service, phase string) *Replica {
	r := &Replica{
		ID: id, Service: service, Phase: phase, EventCount: 4, EventInterval: time.Millisecond, Body: "answer of " + id,
		faults: make(map[Fault]int), runs: make(map[string]int), handles: make(map[string]bool), stopped: make(chan struct{}),
		returned: make(map[string]bool),
	}
	r.server = httptest.NewUnstartedServer(r)
	r.server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, &connState{conn: c})
	}
	r.server.Listener = &gate{TCPListener: r.server.Listener.(*net.TCPListener)}
	r.server.Start()
	r.Addr = strings.TrimPrefix(r.server.URL, "http://")
	return r
}

// connKey is the key of the [connState] in the context of a request.
type connKey struct{}

// connState is a connection and the last refusal on it.
type connState struct {
	conn    net.Conn
	refusal string
}

// RunAfterRepeat is the time from a repeated refusal to the end of the run.
const RunAfterRepeat = 30 * time.Millisecond

// refuse answers a request that isn't run, and records the answer.
func (r *Replica) refuse(w http.ResponseWriter, hr *http.Request, status int, header http.Header) {
	if r.Anonymous {
		w.Header().Del("Lacewinghook-Request-Id")
	}
	for name, values := range header {
		w.Header()[name] = values
	}
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	// Writing to a builder never fails.
	_ = w.Header().Write(&b)
	b.WriteString("Content-Length: 0\r\n\r\n")
	hr.Context().Value(connKey{}).(*connState).refusal = b.String()
	w.WriteHeader(status)
}

// repeatRefusal sends the last refusal on the connection of a request again, if there
// is one, and waits for RunAfterRepeat.
func (r *Replica) repeatRefusal(hr *http.Request) {
	state := hr.Context().Value(connKey{}).(*connState)
	if state.refusal == "" || !r.consumeFault(RepeatRefusal) {
		return
	}
	r.mu.Lock()
	r.repeats++
	r.mu.Unlock()
	time.Sleep(r.RepeatDelay)
	// The error is ignored: it means that the caller has closed the connection.
	_, _ = io.WriteString(state.conn, state.refusal)
	time.Sleep(RunAfterRepeat)
}

// Stop closes the listener and all connections at once, as when a process exits.
// Further calls do nothing.
func (r *Replica) Stop() {
	r.mu.Lock()
	select {
	case <-r.stopped:
		r.mu.Unlock()
		return
	default:
	}
	// Close the listener first: a process that exits accepts no new connections
	// by the time its callers see theirs break.
	_ = r.server.Listener.Close()
	close(r.stopped)
	r.mu.Unlock()
	if r.OnStop != nil {
		r.OnStop()
	}
	r.server.CloseClientConnections()
	r.server.Close()
}

// CloseConnections closes all open connections, as an idle timeout does.
func (r *Replica) CloseConnections() { r.server.CloseClientConnections() }

// Row returns the JSON row that the replica publishes about itself in the
// servers table.
func (r *Replica) Row(state string) string { return r.RowOf(state, 1700000000000) }

// InjectFault injects f into the next n requests to which it can apply. It
// replaces the remaining number of an earlier call.
func (r *Replica) InjectFault(f Fault, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[f] = n
}

// RunCount returns the number of executions of the request with this ID.
func (r *Replica) RunCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// Counts holds the counters of a [Replica].
type Counts struct {
	// Runs counts executed requests, Prefills separate prefill requests,
	// FreedHandles released KV handles, GrantedHolds and ReleasedHolds the holds
	// that were granted and released, and CanceledRuns the requests whose caller
	// disconnected.
	Runs, Prefills, FreedHandles, GrantedHolds, ReleasedHolds, CanceledRuns int
	// CorruptBodies counts request bodies with content that the caller didn't
	// send; only an early answer checks the body.
	CorruptBodies int
	// Repeats counts the refusals that were sent once more.
	Repeats int
}

// Counts returns the current counters.
func (r *Replica) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Counts{Runs: len(r.executedIDs), Prefills: r.prefills, FreedHandles: len(r.freedHandles), GrantedHolds: r.grantedHolds, ReleasedHolds: r.releasedHolds, CanceledRuns: r.canceledRuns, CorruptBodies: r.corruptBodies, Repeats: r.repeats}
}

// RequestHeaders returns the headers of all requests received so far, except
// those with the fault EarlyAnswer.
func (r *Replica) RequestHeaders() []http.Header {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]http.Header(nil), r.headers...)
}

// faultSet reports whether a fault is left.
func (r *Replica) faultSet(f Fault) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults[f] > 0
}

// consumeFault reports whether f applies to this request and uses up one
// occurrence of it.
func (r *Replica) consumeFault(f Fault) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults[f] <= 0 {
		return false
	}
	r.faults[f]--
	return true
}

// BodyDigest returns the value of the header Seen-Body for a request with this body. A
// digest keeps the head of the answer short, since the router limits it.
func BodyDigest(body string) string {
	return fmt.Sprintf("%d %x", len(body), sha256.Sum256([]byte(body)))
}

// notExecuted is the header of refusals of requests.
var notExecuted = http.Header{"Lacewinghook-Not-Executed": {"1"}}

// ServeHTTP implements [http.Handler]: it handles control calls, prefill
// requests and requests to execute, and applies the injected faults. It
// rejects requests that expect another replica or have no ID without running
// them.
func (r *Replica) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	if r.consumeFault(EarlyAnswer) {
		r.answerEarly(w, hr)
		return
	}
	body, err := io.ReadAll(hr.Body)
	if err != nil {
		// The request did not arrive as a whole, and is not run.
		return
	}
	id := hr.Header.Get("Lacewinghook-Request-Id")
	r.mu.Lock()
	r.headers = append(r.headers, hr.Header.Clone())
	r.recordReturns(hr)
	r.mu.Unlock()
	if r.serveNotices(w, hr) {
		return
	}
	if want := hr.Header.Get("Lacewinghook-Expect-Replica"); want != "" && want != r.ID {
		r.refuse(w, hr, http.StatusMisdirectedRequest, http.Header{"Lacewinghook-Replica-Id": {r.ID}})
		return
	}
	if hr.URL.Path == "/hold-take" && !r.fallSilent(hr, SilentHold) {
		return
	}
	if r.serveControl(w, hr, body) {
		return
	}
	w.Header().Set("Lacewinghook-Request-Id", id)
	if id == "" || r.consumeFault(Reject) {
		r.refuse(w, hr, http.StatusServiceUnavailable, notExecuted)
		return
	}
	if hr.Header.Get("Lacewinghook-Phase") == "prefill" {
		r.servePrefill(w, hr, id)
		return
	}
	if source := hr.Header.Get("Lacewinghook-Kv-Source"); source != "" && r.consumeFault(HandleGone) {
		r.refuse(w, hr, http.StatusServiceUnavailable, notExecuted)
		return
	}
	if r.answerByScript(w, hr, id) {
		return
	}
	n := r.countRun(id)
	defer r.endRun(n)
	r.describeRun(n, hr.RequestURI, string(body))
	r.repeatRefusal(hr)
	r.execute(w, hr, id, string(body))
}

// serveControl handles the calls that release a KV handle and that take or
// release a hold. It returns false for any other call.
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
			r.refuse(w, hr, http.StatusServiceUnavailable, nil)
			return true
		}
		r.grantedHolds++
		r.grants = append(r.grants, Grant{Name: r.holdName(fmt.Sprintf("h%d", r.grantedHolds)), At: time.Now()})
		fmt.Fprintf(w, `{"retain":"h%d"}`, r.grantedHolds)
	case strings.HasPrefix(path, "DELETE /hold-drop/"):
		r.releasedHolds++
	default:
		return false
	}
	return true
}

// fallSilent waits for Silence if f applies to this request. It returns false if
// the caller disconnects or the replica stops meanwhile.
func (r *Replica) fallSilent(hr *http.Request, f Fault) bool {
	if !r.consumeFault(f) {
		return true
	}
	select {
	case <-time.After(r.Silence):
		return true
	case <-r.stopped:
	case <-hr.Context().Done():
		r.mu.Lock()
		r.canceledRuns++
		r.mu.Unlock()
	}
	return false
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

// servePrefill handles a separate prefill request and answers with a new KV
// handle. Only a replica of phase prefill executes it.
func (r *Replica) servePrefill(w http.ResponseWriter, hr *http.Request, id string) {
	if r.Phase != "prefill" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.consumeFault(Hang) {
		r.hang(hr)
	}
	if !r.fallSilent(hr, SilentPrefill) || !r.work(hr, r.PrefillTime) {
		return
	}
	r.mu.Lock()
	r.prefills++
	handle := fmt.Sprintf("kv%d", r.prefills)
	r.handles[handle] = true
	r.grants = append(r.grants, Grant{Name: r.Addr + "/" + handle, ID: id, At: time.Now()})
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"handle":%q,"tokens":100,"version":1}`, handle)
}

// execute answers a request that ServeHTTP has counted as executed, and applies
// the injected faults. The answer of a plain service repeats the path and body of
// the request in its headers.
func (r *Replica) execute(w http.ResponseWriter, hr *http.Request, id, body string) {
	h := w.Header()
	h.Set("Lacewinghook-Replica-Signature", "sig."+id)
	answer := r.Body
	if r.Pace != nil {
		answer = strings.Repeat(r.Body, max(1, r.Pace(id).Parts))
	}
	if r.Tagged {
		answer = TaggedBody(id, answer)
	}
	if !r.fallSilent(hr, SilentHead) {
		return
	}
	switch {
	case r.consumeFault(Crash):
		go r.Stop()
		<-r.stopped
		panic(http.ErrAbortHandler)
	case r.consumeFault(LoseAnswer):
		panic(http.ErrAbortHandler)
	case r.consumeFault(Hang):
		r.hang(hr)
	case r.consumeFault(ServerError):
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed")
		return
	case r.consumeFault(Unsigned):
		h.Del("Lacewinghook-Replica-Signature")
	case r.consumeFault(InvalidAnswer):
		r.writeRaw(w, "this is no answer\r\n\r\n", false)
		return
	case r.consumeFault(NoContentLength):
		r.writeRaw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sLacewinghook-Request-Id: %s\r\nLacewinghook-Replica-Signature: sig.%s\r\n\r\n%s", r.leavingLine(), id, id, answer), false)
		return
	case r.consumeFault(DuplicateAnswer):
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sLacewinghook-Request-Id: %s\r\nLacewinghook-Replica-Signature: sig.%s\r\nContent-Length: %d\r\n\r\n%s", r.leavingLine(), id, id, len(answer), answer)
		r.writeRaw(w, response+response, true)
		return
	}
	if r.Phase != "" {
		r.streamEvents(w, hr, id)
		return
	}
	if r.consumeFault(CutAnswer) {
		h.Set("Content-Length", fmt.Sprint(len(answer)+10))
		_, _ = io.WriteString(w, answer)
		panic(http.ErrAbortHandler)
	}
	if r.Work != nil && !r.work(hr, r.Work(id)) {
		return
	}
	if r.faultSet(SilentBody) {
		h.Set("Content-Length", fmt.Sprint(len(answer)))
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		if r.fallSilent(hr, SilentBody) {
			_, _ = io.WriteString(w, answer[len(answer)/2:])
		}
		return
	}
	h.Set("Seen-Path", hr.RequestURI)
	h.Set("Seen-Body", BodyDigest(body))
	_, _ = io.WriteString(w, answer)
}

// writeRaw writes text to the hijacked connection in place of an HTTP response.
// If keepOpen is set, the connection stays open until the replica stops;
// otherwise its write side closes at once and its read side after a second.
func (r *Replica) writeRaw(w http.ResponseWriter, text string, keepOpen bool) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, text)
	if keepOpen {
		go func() {
			<-r.stopped
			_ = c.Close()
		}()
		return
	}
	_ = c.(*net.TCPConn).CloseWrite()
	time.AfterFunc(time.Second, func() { _ = c.Close() })
}

// earlyReadDelay is the time between an early answer and the read of the body.
const earlyReadDelay = 50 * time.Millisecond

// answerEarly answers before it reads the body. Tests send a body of the
// letter x only, so that any other byte counts as corruption.
func (r *Replica) answerEarly(w http.ResponseWriter, hr *http.Request) {
	id := hr.Header.Get("Lacewinghook-Request-Id")
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex()
	w.Header().Set("Lacewinghook-Request-Id", id)
	w.Header().Set("Lacewinghook-Replica-Signature", "sig."+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(r.Body)))
	_, _ = io.WriteString(w, r.Body)
	_ = controller.Flush()
	time.Sleep(earlyReadDelay)
	// A truncated body is not corrupt, so the read error is ignored.
	got, _ := io.ReadAll(hr.Body)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.executedIDs = append(r.executedIDs, id)
	if strings.Trim(string(got), "x") != "" {
		r.corruptBodies++
	}
}

// lastEventID returns the number in the request's Last-Event-Id, 0 if it has none.
func lastEventID(hr *http.Request) int {
	n := 0
	if last := hr.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscanf(last, "%d", &n)
	}
	return n
}

// HasPart reports whether the prompt of a request with the header h has one of the parts
// before its last one.
func HasPart(h http.Header, parts []string) bool {
	prompt := strings.Split(h.Get("Lacewinghook-Prefix-Hash"), ",")
	return slices.ContainsFunc(prompt[:len(prompt)-1], func(p string) bool {
		id, _, _ := strings.Cut(p, ":")
		return slices.Contains(parts, id)
	})
}

// Stopped reports whether the replica has crashed or was stopped.
func (r *Replica) Stopped() bool {
	select {
	case <-r.stopped:
		return true
	default:
		return false
	}
}

// streamEvents sends the events that follow the caller's Last-Event-Id, up to
// EventCount. With CutAnswer it resets the connection within the third event
// that it sends.
func (r *Replica) streamEvents(w http.ResponseWriter, hr *http.Request, id string) {
	lastID := lastEventID(hr)
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	if HasPart(hr.Header, r.DeadlyParts) {
		go r.Stop()
		<-r.stopped
		panic(http.ErrAbortHandler)
	}
	cut := r.consumeFault(CutAnswer)
	pace := r.paceOf(id)
	for n := lastID + 1; n <= pace.Events; n++ {
		if n == lastID+3 && !r.fallSilent(hr, SilentStream) {
			return
		}
		event := fmt.Sprintf("id: %d\ndata: token%d\n\n", n, n)
		if r.Tagged {
			event = taggedEvent(id, n)
		}
		if cut && n == lastID+3 {
			part, _, _ := strings.Cut(event, "ken")
			_, _ = io.WriteString(w, part)
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event)
		_ = controller.Flush()
		pause := pace.Interval
		if slices.Contains(pace.Silent, n) {
			pause += r.Silence
		}
		if pause > 0 && !r.work(hr, pause) {
			return
		}
	}
}
