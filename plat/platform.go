package plat

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/shard"
)

// Platform is the stand-in for the whole platform. The zero value is empty
// and works.
type Platform struct {
	Table  Table
	Faults Faults
	Clock  clock.Clock
	// Instances are those that the platform runs at the start; later changes
	// go through Join and Part. It learns their states by asking each for its
	// readiness, so that its list lags.
	Instances []core.Instance
	// ProbeInterval is the time between two looks at an instance; zero is 500.
	ProbeInterval clock.Millis
	// Limits are the rates that the platform keeps to.
	Limits Limits

	limiters limiters

	mu      sync.Mutex
	objects shard.Map[string, []byte]
	probes  shard.Map[string, probeResult]
}

// probeResult is what the last look at an instance found.
type probeResult struct {
	state core.State
	at    clock.Millis
}

// Limits of the platform's inputs, and the usual lag of its list.
const (
	maxBodyBytes         = 64 << 20
	defaultProbeInterval = 500 * clock.Millis(1)
	probeTimeout         = time.Second
	maxProbeBytes        = 4096
)

var errObjectNotFound = errors.New("plat: no object of this key")

// ReadRequest asks for rows by key or by prefix.
type ReadRequest struct {
	Keys   []string `json:"keys,omitempty"`
	Prefix string   `json:"prefix,omitempty"`
	After  string   `json:"after,omitempty"`
	Limit  int      `json:"limit,omitempty"`
}

// ReadResponse holds the rows found.
type ReadResponse struct {
	Rows []core.Row `json:"rows"`
}

// CommitRequest is one transaction.
type CommitRequest struct {
	Writes []core.Write `json:"writes"`
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/table/read", p.serveRead).Methods(http.MethodPost)
	r.HandleFunc("/v1/table/commit", p.serveCommit).Methods(http.MethodPost)
	r.HandleFunc("/v1/objects/{key:.+}", p.serveObject).Methods(http.MethodGet, http.MethodPut)
	r.HandleFunc("/v1/weights/{name:.+}", p.serveWeights).Methods(http.MethodGet)
	r.HandleFunc("/v1/instances", p.serveList).Methods(http.MethodGet)
	r.HandleFunc("/fake/faults", p.setFaults).Methods(http.MethodPost, http.MethodDelete)
	return r
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	var call ReadRequest
	if !decodeBody(w, r, &call) || !p.waitForRate(w, r, p.initLimiters().table.reads) {
		return
	}
	p.callWithFaults(w, Read, append([]string{call.Prefix}, call.Keys...), func() (any, error) {
		if len(call.Keys) > 0 {
			return ReadResponse{Rows: p.Table.Read(call.Keys)}, nil
		}
		return ReadResponse{Rows: p.Table.List(call.Prefix, call.After, call.Limit)}, nil
	})
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var call CommitRequest
	if !decodeBody(w, r, &call) || !p.waitForRate(w, r, p.initLimiters().table.writes) {
		return
	}
	var keys []string
	for _, write := range call.Writes {
		keys = append(keys, write.Key)
	}
	p.callWithFaults(w, Commit, keys, func() (any, error) { return p.Table.Commit(call.Writes) })
}

func (p *Platform) serveObject(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["key"]
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPut {
		if p.waitForRate(w, r, p.initLimiters().objects.writes) {
			p.callWithFaults(w, Object, []string{key}, func() (any, error) {
				p.objects.Set(key, body)
				return struct{}{}, nil
			})
		}
		return
	}
	if p.waitForRate(w, r, p.initLimiters().objects.reads) {
		p.callWithFaults(w, Object, []string{key}, func() (any, error) {
			data, ok := p.objects.Get(key)
			if !ok {
				return nil, errObjectNotFound
			}
			return data, nil
		})
	}
}

func (p *Platform) serveList(w http.ResponseWriter, _ *http.Request) {
	p.callWithFaults(w, List, nil, func() (any, error) { return p.Listing(), nil })
}

// Join adds an instance, or takes the place of the one of that name.
func (p *Platform) Join(in core.Instance) {
	p.Part(in.Name)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Instances = append(slices.Clone(p.Instances), in)
}

// Part removes an instance from the list.
func (p *Platform) Part(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Instances = slices.DeleteFunc(slices.Clone(p.Instances), func(in core.Instance) bool {
		return in.Name == name
	})
	p.probes.Delete(name)
}

func (p *Platform) instances() []core.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Instances
}

// Listing returns the instance list as the platform knows it.
func (p *Platform) Listing() core.Listing {
	var l core.Listing
	for _, in := range p.instances() {
		s, ok := p.probes.Get(in.Name)
		if !ok {
			continue
		}
		in.State = s.state
		l.Age = max(l.Age, p.Clock.Now()-s.at)
		l.Instances = append(l.Instances, in)
	}
	return l
}

// Watch looks at every instance until ctx ends.
func (p *Platform) Watch(ctx context.Context) {
	lag := p.ProbeInterval
	if lag == 0 {
		lag = defaultProbeInterval
	}
	client := &http.Client{Timeout: probeTimeout}
	p.probeAll(ctx, client)
	p.Clock.Every(ctx, lag, func(ctx context.Context) { p.probeAll(ctx, client) })
}

func (p *Platform) probeAll(ctx context.Context, client *http.Client) {
	for _, in := range p.instances() {
		state := probe(ctx, client, in.Addr)
		p.probes.Set(in.Name, probeResult{state: state, at: p.Clock.Now()})
	}
}

func probe(ctx context.Context, client *http.Client, addr string) core.State {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/readyz", nil)
	if err != nil {
		return core.Dead
	}
	resp, err := client.Do(req)
	if err != nil {
		return core.Dead
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxProbeBytes))
	if resp.Header.Get("State") == string(core.Leaving) {
		return core.Leaving
	}
	return core.Live
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		p.Faults.Clear()
		return
	}
	var f Fault
	if decodeBody(w, r, &f) {
		p.Faults.Add(f)
	}
}

// callWithFaults carries out one call under the faults in force.
func (p *Platform) callWithFaults(w http.ResponseWriter, op Op, keys []string, f func() (any, error)) {
	fault, faulty := p.Faults.consume(op, keys)
	if !faulty {
		writeResult(w, f)
		return
	}
	switch fault.Kind {
	case Down:
		http.Error(w, "the platform is down", http.StatusServiceUnavailable)
	case Slow:
		_ = p.Clock.Sleep(context.Background(), fault.Delay)
		writeResult(w, f)
	case Held:
		v, err := f()
		_ = p.Clock.Sleep(context.Background(), fault.Delay)
		writeResult(w, func() (any, error) { return v, err })
	case Lost:
		_, _ = f()
		panic(http.ErrAbortHandler)
	case Late:
		p.Clock.AfterFunc(fault.Delay, func() { _, _ = f() })
		panic(http.ErrAbortHandler)
	default:
		panic(http.ErrAbortHandler)
	}
}

func writeResult(w http.ResponseWriter, f func() (any, error)) {
	v, err := f()
	if errors.Is(err, errObjectNotFound) {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if raw, ok := v.([]byte); ok {
		_, _ = w.Write(raw)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
