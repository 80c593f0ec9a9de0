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
	// Lag is the time between two looks at an instance; zero is 500.
	Lag clock.Millis
	// Limits are the rates that the platform keeps to.
	Limits Limits

	limiters limiters

	mu      sync.Mutex
	objects shard.Map[string, []byte]
	states  shard.Map[string, seen]
}

// seen is what the last look at an instance found.
type seen struct {
	state core.InstanceState
	at    clock.Millis
}

// Limits of the platform's inputs, and the usual lag of its list.
const (
	maxBodyBytes   = 64 << 20
	defaultLag     = 500 * clock.Millis(1)
	lookTimeout    = time.Second
	maxLookedBytes = 4096
)

var errNoObject = errors.New("plat: no object of this key")

// ReadCall asks for rows by key or by prefix.
type ReadCall struct {
	Keys   []string `json:"keys,omitempty"`
	Prefix string   `json:"prefix,omitempty"`
	After  string   `json:"after,omitempty"`
	Limit  int      `json:"limit,omitempty"`
}

// ReadAnswer holds the rows found.
type ReadAnswer struct {
	Rows []core.Row `json:"rows"`
}

// CommitCall is one transaction.
type CommitCall struct {
	Writes []core.Write `json:"writes"`
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/table/read", p.read).Methods(http.MethodPost)
	r.HandleFunc("/v1/table/commit", p.commit).Methods(http.MethodPost)
	r.HandleFunc("/v1/objects/{key:.+}", p.object).Methods(http.MethodGet, http.MethodPut)
	r.HandleFunc("/v1/weights/{name:.+}", p.weightFile).Methods(http.MethodGet)
	r.HandleFunc("/v1/instances", p.list).Methods(http.MethodGet)
	r.HandleFunc("/fake/faults", p.setFaults).Methods(http.MethodPost, http.MethodDelete)
	return r
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	var call ReadCall
	if !decode(w, r, &call) || !p.admit(w, r, p.limits().table.reads) {
		return
	}
	p.do(w, Read, append([]string{call.Prefix}, call.Keys...), func() (any, error) {
		if len(call.Keys) > 0 {
			return ReadAnswer{Rows: p.Table.Read(call.Keys)}, nil
		}
		return ReadAnswer{Rows: p.Table.List(call.Prefix, call.After, call.Limit)}, nil
	})
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var call CommitCall
	if !decode(w, r, &call) || !p.admit(w, r, p.limits().table.writes) {
		return
	}
	var keys []string
	for _, write := range call.Writes {
		keys = append(keys, write.Key)
	}
	p.do(w, Commit, keys, func() (any, error) { return p.Table.Commit(call.Writes) })
}

func (p *Platform) object(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["key"]
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPut {
		if p.admit(w, r, p.limits().objects.writes) {
			p.do(w, Object, []string{key}, func() (any, error) {
				p.objects.Set(key, body)
				return struct{}{}, nil
			})
		}
		return
	}
	if p.admit(w, r, p.limits().objects.reads) {
		p.do(w, Object, []string{key}, func() (any, error) {
			data, ok := p.objects.Get(key)
			if !ok {
				return nil, errNoObject
			}
			return data, nil
		})
	}
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.do(w, List, nil, func() (any, error) { return p.Listing(), nil })
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
	p.states.Delete(name)
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
		s, ok := p.states.Get(in.Name)
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
	lag := p.Lag
	if lag == 0 {
		lag = defaultLag
	}
	client := &http.Client{Timeout: lookTimeout}
	p.look(ctx, client)
	p.Clock.Every(ctx, lag, func(ctx context.Context) { p.look(ctx, client) })
}

func (p *Platform) look(ctx context.Context, client *http.Client) {
	for _, in := range p.instances() {
		state := lookAt(ctx, client, in.Addr)
		p.states.Set(in.Name, seen{state: state, at: p.Clock.Now()})
	}
}

func lookAt(ctx context.Context, client *http.Client, addr string) core.InstanceState {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/readyz", nil)
	if err != nil {
		return core.Dead
	}
	resp, err := client.Do(req)
	if err != nil {
		return core.Dead
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxLookedBytes))
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
	if decode(w, r, &f) {
		p.Faults.Add(f)
	}
}

// do carries out one call under the faults in force.
func (p *Platform) do(w http.ResponseWriter, op Op, keys []string, f func() (any, error)) {
	fault, faulty := p.Faults.take(op, keys)
	if !faulty {
		answer(w, f)
		return
	}
	switch fault.Kind {
	case Down:
		http.Error(w, "the platform is down", http.StatusServiceUnavailable)
	case Slow:
		_ = p.Clock.Sleep(context.Background(), fault.Delay)
		answer(w, f)
	case Held:
		v, err := f()
		_ = p.Clock.Sleep(context.Background(), fault.Delay)
		answer(w, func() (any, error) { return v, err })
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

func answer(w http.ResponseWriter, f func() (any, error)) {
	v, err := f()
	if errors.Is(err, errNoObject) {
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

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
