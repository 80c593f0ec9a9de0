package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Times of replicas, those of the users' sheet.
const (
	tokensPerMilli = 33.3
	fetchTime      = 4 * time.Millisecond
	firstTokenTime = 4 * time.Millisecond
	eventTime      = 60 * time.Millisecond
	// eventTokens is the number of tokens in an event.
	eventTokens = 16
	// silence is how long a sound replica may fall silent. Only answers with more than
	// longAnswer events are interrupted so.
	silence    = time.Second
	longAnswer = 5
	deskTime   = 60 * time.Millisecond
	// backAfter is how long a replica that has crashed is away.
	backAfter = 2 * time.Second
)

// arrival is a request of a caller that has reached a replica.
type arrival struct {
	id, replica string
	prefill     bool
	at          time.Time
}

// replica is a stand-in of one replica.
type replica struct {
	bed                *bed
	id, service, phase string
	addr               string
	ln                 net.Listener
	server             *http.Server
	// crashes reports whether the replica crashes when it begins to run the request.
	crashes func(hr *http.Request, body []byte) bool
	// comesBack is set if another replica follows this one after a crash.
	comesBack bool
	// silences is how often the replica falls silent in a long answer, for silence each.
	silences int
	// work is the time of a plain request.
	work func(hr *http.Request) time.Duration

	once    sync.Once
	stopped chan struct{}
	handles atomic.Int64
	mu      sync.Mutex
	seen    []arrival
}

// addReplica starts a replica and registers it. The fields of like are kept.
func (b *bed) addReplica(service, phase string, like *replica) (*replica, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{bed: b, service: service, phase: phase, addr: ln.Addr().String(), ln: ln, stopped: make(chan struct{})}
	if like != nil {
		r.crashes, r.work, r.comesBack, r.silences = like.crashes, like.work, like.comesBack, like.silences
	}
	b.mu.Lock()
	r.id = fmt.Sprintf("i-%04x", len(b.replicas)+1)
	b.replicas = append(b.replicas, r)
	b.mu.Unlock()
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(ln) }()
	b.register(r)
	return r, nil
}

// register writes the replica's row.
func (b *bed) register(r *replica) {
	row := object{
		"service": r.service, "address": r.addr, "zone": "moose-jaw", "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0,
		"seq_no": 0, "born": time.Now().UnixMilli(),
	}
	if r.phase != "" {
		row["phase"], row["models"] = r.phase, []object{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	text, _ := json.Marshal(row)
	b.store.Put("servers", r.id, string(text))
}

// crash ends the replica at once, as a process that dies: its listener closes first. It
// reports whether the replica still ran.
func (r *replica) crash() (first bool) {
	r.once.Do(func() {
		first = true
		_ = r.ln.Close()
		close(r.stopped)
		_ = r.server.Close()
	})
	return first
}

// crashAndReturn crashes the replica. Its row is removed after three heartbeats of 1.2 s,
// and a new one takes its place after backAfter.
func (r *replica) crashAndReturn() {
	at := time.Now()
	if !r.crash() {
		return
	}
	r.bed.log("%s: crashes", r.id)
	r.bed.crashed(at)
	go func() {
		time.Sleep(backAfter)
		if r.comesBack {
			if n, err := r.bed.addReplica(r.service, r.phase, r); err == nil {
				r.bed.log("%s: back as %s", r.id, n.id)
			}
		}
		time.Sleep(3*1200*time.Millisecond - backAfter)
		r.bed.store.Remove("servers", r.id)
	}()
}

// arrivals returns the requests of callers that have reached any replica.
func (b *bed) arrivals() []arrival {
	var all []arrival
	for _, r := range b.all() {
		r.mu.Lock()
		all = append(all, r.seen...)
		r.mu.Unlock()
	}
	return all
}

// ServeHTTP implements [http.Handler].
func (r *replica) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	body, err := io.ReadAll(hr.Body)
	if err != nil {
		return
	}
	h, id := w.Header(), hr.Header.Get("Lacewinghook-Request-Id")
	if want := hr.Header.Get("Lacewinghook-Expect-Replica"); want != "" && want != r.id {
		h.Set("Lacewinghook-Replica-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case hr.URL.Path == "/hold-take":
		_, _ = fmt.Fprintf(w, `{"retain":"%s-%d"}`, r.id, r.handles.Add(1))
		return
	case hr.Method == http.MethodDelete, hr.URL.Path == "/healthz":
		h.Set("Lacewinghook-Replica-Id", r.id)
		return
	}
	h.Set("Lacewinghook-Request-Id", id)
	prefill := hr.Header.Get("Lacewinghook-Phase") == "prefill"
	r.note(arrival{id: id, replica: r.id, prefill: prefill, at: time.Now()})
	if prefill {
		r.prefill(w, hr)
		return
	}
	if r.phase == "prefill" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.phase != "" {
		if hr.Header.Get("Lacewinghook-Kv-Source") == "" {
			time.Sleep(2 * promptTime(hr))
		}
		time.Sleep(fetchTime + firstTokenTime)
	}
	select {
	case <-r.stopped:
		panic(http.ErrAbortHandler)
	default:
	}
	if r.crashes != nil && r.crashes(hr, body) {
		r.crashAndReturn()
		panic(http.ErrAbortHandler)
	}
	h.Set("Lacewinghook-Replica-Signature", "sig."+id)
	if r.phase != "" {
		r.stream(w, hr)
		return
	}
	work := deskTime
	if r.work != nil {
		work = r.work(hr)
	}
	select {
	case <-time.After(work):
	case <-hr.Context().Done():
		return
	case <-r.stopped:
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "%s %s", id, strings.Repeat("answer ", 100))
}

// note records an arrival.
func (r *replica) note(a arrival) {
	r.mu.Lock()
	r.seen = append(r.seen, a)
	r.mu.Unlock()
}

// promptTime returns the time to read the prompt.
func promptTime(hr *http.Request) time.Duration {
	text, _, _ := strings.Cut(hr.Header.Get("Lacewinghook-Token-Counts"), ",")
	n, _ := strconv.Atoi(text)
	return time.Duration(float64(n) / tokensPerMilli * float64(time.Millisecond))
}

// prefill reads a prompt and answers with a handle.
func (r *replica) prefill(w http.ResponseWriter, hr *http.Request) {
	if r.phase != "prefill" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(promptTime(hr))
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"handle":"%s%d","tokens":3200,"version":1}`, strings.TrimPrefix(r.id, "i-"), r.handles.Add(1))
}

// stream sends the events of a stream.
func (r *replica) stream(w http.ResponseWriter, hr *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	last, _ := strconv.Atoi(hr.Header.Get("Last-Event-Id"))
	_, most, _ := strings.Cut(hr.Header.Get("Lacewinghook-Token-Counts"), ",")
	tokens, _ := strconv.Atoi(most)
	count, left := (tokens+eventTokens-1)/eventTokens, r.silences
	for n := last + 1; n <= count; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: verse %d\n\n", n, n); err != nil {
			return
		}
		_ = c.Flush()
		pause := eventTime
		if n >= longAnswer && left > 0 {
			left--
			pause += silence
		}
		select {
		case <-time.After(pause):
		case <-hr.Context().Done():
			return
		case <-r.stopped:
			panic(http.ErrAbortHandler)
		}
	}
}
