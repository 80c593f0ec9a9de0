package pltsim

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

// Platform simulates the whole platform. The zero value is empty and ready to
// use.
type Platform struct {
	Table  Table
	Faults Faults
	Clock  clock.Clock
	// Instances is the initial list of instances; use AddInstance and
	// RemoveInstance once the platform runs. Their State fields are ignored:
	// Listing returns the states of the last readiness probes, and so lags behind
	// the instances.
	Instances []core.Instance
	// ProbeInterval is the time between two probes of an instance; zero means
	// 500 ms.
	ProbeInterval clock.Millis
	// Limits are the platform's rate limits.
	Limits Limits

	limiters limiters

	mu      sync.Mutex // guards Instances
	objects shard.Map[string, []byte]
	probes  shard.Map[string, probeResult] // by instance name
}

// probeResult is the result of the last readiness probe of an instance.
type probeResult struct {
	state core.InstanceState
	at    clock.Millis
}

// Bounds of request bodies and probes.
const (
	maxBodyBytes         = 64 << 20
	defaultProbeInterval = 500 * clock.Millis(1)
	probeTimeout         = time.Second
	maxProbeBytes        = 4096
)

// errObjectNotFound makes [writeResult] answer 404.
var errObjectNotFound = errors.New("pltsim: object not found")

// ReadRequest selects rows by Keys, or else the rows under Prefix that follow
// the key After, up to Limit.
type ReadRequest struct {
	Keys   []string `json:"keys,omitempty"`
	Prefix string   `json:"prefix,omitempty"`
	After  string   `json:"after,omitempty"`
	Limit  int      `json:"limit,omitempty"`
}

// ReadResponse holds the rows that a [ReadRequest] selected.
type ReadResponse struct {
	Rows []core.Row `json:"rows"`
}

// CommitRequest is one transaction, which applies all writes or none.
type CommitRequest struct {
	Writes []core.Write `json:"writes"`
}

// Handler returns the HTTP handler of all simulated services.
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

// serveRead handles reads of the table by key or prefix.
func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	var req ReadRequest
	if !decodeBody(w, r, &req) || !p.waitForRate(w, r, p.initLimiters().table.reads) {
		return
	}
	p.callWithFaults(w, OpRead, append([]string{req.Prefix}, req.Keys...), func() (any, error) {
		if len(req.Keys) > 0 {
			return ReadResponse{Rows: p.Table.Read(req.Keys)}, nil
		}
		return ReadResponse{Rows: p.Table.List(req.Prefix, req.After, req.Limit)}, nil
	})
}

// serveCommit handles transactions of the table.
func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var req CommitRequest
	if !decodeBody(w, r, &req) || !p.waitForRate(w, r, p.initLimiters().table.writes) {
		return
	}
	var keys []string
	for _, write := range req.Writes {
		keys = append(keys, write.Key)
	}
	p.callWithFaults(w, OpCommit, keys, func() (any, error) { return p.Table.Commit(req.Writes) })
}

// serveObject handles reads and writes of one object.
func (p *Platform) serveObject(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["key"]
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPut {
		if p.waitForRate(w, r, p.initLimiters().objects.writes) {
			p.callWithFaults(w, OpObject, []string{key}, func() (any, error) {
				p.objects.Set(key, body)
				return struct{}{}, nil
			})
		}
		return
	}
	if p.waitForRate(w, r, p.initLimiters().objects.reads) {
		p.callWithFaults(w, OpObject, []string{key}, func() (any, error) {
			data, ok := p.objects.Get(key)
			if !ok {
				return nil, errObjectNotFound
			}
			return data, nil
		})
	}
}

// serveList handles requests for the instance list.
func (p *Platform) serveList(w http.ResponseWriter, _ *http.Request) {
	p.callWithFaults(w, OpList, nil, func() (any, error) { return p.Listing(), nil })
}

// AddInstance adds an instance, or replaces the one of the same name.
func (p *Platform) AddInstance(in core.Instance) {
	p.RemoveInstance(in.Name)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Instances = append(slices.Clone(p.Instances), in)
}

// RemoveInstance removes an instance and its probe result.
func (p *Platform) RemoveInstance(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Instances = slices.DeleteFunc(slices.Clone(p.Instances), func(in core.Instance) bool {
		return in.Name == name
	})
	p.probes.Delete(name)
}

// instances returns the current list, which is never modified in place.
func (p *Platform) instances() []core.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Instances
}

// Listing returns the instances that were probed at least once, with the states
// of their last probes. Age is the time since the oldest of these probes.
func (p *Platform) Listing() core.Listing {
	var l core.Listing
	for _, in := range p.instances() {
		result, ok := p.probes.Get(in.Name)
		if !ok {
			continue
		}
		in.State = result.state
		l.Age = max(l.Age, p.Clock.Now()-result.at)
		l.Instances = append(l.Instances, in)
	}
	return l
}

// ProbeInstances probes all instances at once and then at every ProbeInterval,
// until ctx is done.
func (p *Platform) ProbeInstances(ctx context.Context) {
	interval := p.ProbeInterval
	if interval == 0 {
		interval = defaultProbeInterval
	}
	client := &http.Client{Timeout: probeTimeout}
	p.probeAll(ctx, client)
	p.Clock.Every(ctx, interval, func(ctx context.Context) { p.probeAll(ctx, client) })
}

// probeAll probes all instances one after the other and records the results.
func (p *Platform) probeAll(ctx context.Context, client *http.Client) {
	for _, in := range p.instances() {
		state := probe(ctx, client, in.Addr)
		p.probes.Set(in.Name, probeResult{state: state, at: p.Clock.Now()})
	}
}

// probe returns the state of the instance at addr: dead if its readiness
// endpoint can't be reached, leaving if it reports so, and else live.
func probe(ctx context.Context, client *http.Client, addr string) core.InstanceState {
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

// setFaults injects a fault on POST and clears all faults on DELETE.
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

// callWithFaults calls apply and answers with its result, and applies the first
// injected fault that matches op and keys. Under some faults apply is called
// later or not at all.
func (p *Platform) callWithFaults(w http.ResponseWriter, op Op, keys []string, apply func() (any, error)) {
	fault, injected := p.Faults.consume(op, keys)
	if !injected {
		writeResult(w, apply)
		return
	}
	switch fault.Kind {
	case Unavailable:
		http.Error(w, "platform unavailable", http.StatusServiceUnavailable)
	case RequestDelayed:
		_ = p.Clock.Sleep(context.Background(), fault.Delay)
		writeResult(w, apply)
	case AnswerDelayed:
		v, err := apply()
		_ = p.Clock.Sleep(context.Background(), fault.Delay)
		writeResult(w, func() (any, error) { return v, err })
	case AnswerLost:
		_, _ = apply()
		panic(http.ErrAbortHandler)
	case AppliedLate:
		p.Clock.AfterFunc(fault.Delay, func() { _, _ = apply() })
		panic(http.ErrAbortHandler)
	default:
		panic(http.ErrAbortHandler)
	}
}

// writeResult calls apply and answers with its result: a byte slice as it is, any
// other value as JSON, errObjectNotFound as 404 and any other error as 400.
func writeResult(w http.ResponseWriter, apply func() (any, error)) {
	v, err := apply()
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

// decodeBody decodes the JSON body into v. If the body is invalid, it answers 400
// and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
