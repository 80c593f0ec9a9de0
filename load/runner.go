package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"

	"lacewinghook.example/lacewinghook/access"
	"lacewinghook.example/lacewinghook/chart"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/cost"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/trial"
)

// Result is the outcome of one arrival.
type Result struct {
	Arrival
	// FirstToken is the time to the first token. For requests that generate no
	// tokens it is equal to Latency.
	FirstToken clock.Millis
	// Latency is the time until the call returned.
	Latency clock.Millis
	// Tokens is the number of tokens received.
	Tokens int
	// Err is nil if the answer is complete.
	Err error
	// Wrong is true if a complete answer differs from the expected tokens.
	Wrong bool
}

// runner sends the arrivals of one seed to a cluster with one policy.
type runner struct {
	plan     *Plan
	policy   Policy
	slowdown Slowdown
	cluster  *trial.Cluster
	client   *http.Client
	clock    clock.Clock
	start    clock.Millis

	// mu protects results.
	mu      sync.Mutex
	results []Result
}

// releaseTimeout limits the wait for the engines to release their memory after
// a run.
const releaseTimeout = 10 * clock.Second

// maxIdleConnsPerEntry limits the idle connections kept open to each entry.
const maxIdleConnsPerEntry = 512

// runPolicy starts a cluster, sends the arrivals and returns the row of the
// report.
func runPolicy(ctx context.Context, p *Plan, policy Policy, seed uint64) (chart.Row, error) {
	arrivals := p.Arrivals(seed)
	cluster, err := trial.Start(p.clusterPlan(policy))
	if err != nil {
		return chart.Row{}, err
	}
	defer cluster.Stop()
	r := &runner{plan: p, policy: policy, slowdown: p.Slowdown, cluster: cluster}
	if policy.Slowdown != nil {
		r.slowdown = *policy.Slowdown
	}
	r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerEntry}}
	defer r.client.CloseIdleConnections()
	cpuBefore, peerBytes := cost.CPU(), cluster.Traffic().Peer.Bytes
	r.run(ctx, arrivals)
	seconds := float64(r.clock.Now()-r.start) / float64(clock.Second)
	peerBytes = cluster.Traffic().Peer.Bytes - peerBytes
	row := summarize(p, policy, r.results)
	row.Seed = seed
	row.CPU = float64(cost.CPU()-cpuBefore) / float64(max(1, len(arrivals)))
	// A byte between two entries counts for both the sender and the receiver.
	row.PeerBytes = 2 * float64(peerBytes) / seconds / float64(len(cluster.Entries))
	r.waitForRelease(ctx)
	addEngineCounts(&row, cluster)
	addEntryCounts(&row, cluster)
	return row, ctx.Err()
}

// clusterPlan returns the cluster configuration for a run of policy.
func (p *Plan) clusterPlan(policy Policy) trial.Plan {
	c := p.Cluster
	return trial.Plan{
		Entries: c.Entries, Prefills: c.Prefills, Decodes: c.Decodes, Services: c.Services,
		Speed:        fake.Speed{PrefillRate: c.PrefillRate, StepTime: c.StepTime, LinkRate: c.LinkRate, TokenBytes: c.KVBytesPerToken},
		DecodePieces: c.PiecesPerEngine,
		Linger:       1,
		SetupEngine: func(e *fake.Engine) {
			e.Pieces = c.PiecesPerEngine
			e.ExportTTL = c.ExportTTL
			e.ReportLag = c.ReportLag
		},
		EditDocument: p.addToDocument,
		SetupEntry: func(settings *config.Settings) {
			if len(policy.Settings) > 0 {
				// Invalid settings are ignored: Check does not decode them.
				_ = json.Unmarshal(policy.Settings, settings)
			}
		},
	}
}

// addToDocument adds the plan's profiles and workspaces to doc. Workspaces use
// the first profile by default.
func (p *Plan) addToDocument(doc *core.Document) {
	doc.Profiles = append(doc.Profiles, p.Profiles...)
	added := map[string]bool{trial.Workspace: true}
	for _, class := range p.Classes {
		if class.Workspace == "" || added[class.Workspace] {
			continue
		}
		added[class.Workspace] = true
		doc.Workspaces = append(doc.Workspaces, core.Workspace{
			Name: class.Workspace, Profile: doc.Profiles[0].Name, Keys: []string{access.Digest(apiKey(class.Workspace))},
		})
	}
}

// apiKey returns the API key of a workspace.
func apiKey(workspace string) string {
	if workspace == "" || workspace == trial.Workspace {
		return trial.CallerKey
	}
	return "load-" + workspace
}

// run sends each request at its arrival time, regardless of the requests in
// flight, and waits until all calls have returned.
func (r *runner) run(ctx context.Context, arrivals []Arrival) {
	r.start = r.clock.Now()
	slowdownCtx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { r.runSlowdown(slowdownCtx) })
	var calls sync.WaitGroup
	for _, a := range arrivals {
		if r.clock.Sleep(ctx, r.start+a.At-r.clock.Now()) != nil {
			break
		}
		calls.Go(func() { r.call(ctx, a) })
	}
	calls.Wait()
	cancel()
	wg.Wait()
}

// call makes the call of one arrival and records its result. Arrivals are
// distributed over the entries in turn.
func (r *runner) call(ctx context.Context, a Arrival) {
	result := Result{Arrival: a}
	client := r.cluster.Client(a.Index % len(r.cluster.Entries))
	client.HTTP = r.client
	client.Key = apiKey(a.Class.Workspace)
	begin := r.clock.Now()
	switch a.Class.Kind {
	case Completion:
		r.callCompletion(ctx, client, begin, &result)
	case Lookup:
		_, result.Err = client.CallService(ctx, http.MethodGet, "/stock/burr", "", nil)
	case Order:
		key := fmt.Sprintf("order-%d", a.Index)
		_, result.Err = client.CallService(ctx, http.MethodPost, "/orders", key, []byte(key))
	}
	result.Latency = r.clock.Now() - begin
	if a.Class.Kind != Completion {
		result.FirstToken = result.Latency
	}
	r.mu.Lock()
	r.results = append(r.results, result)
	r.mu.Unlock()
}

// callCompletion streams a completion, measures the time to the first token and
// compares the answer with the expected one.
func (r *runner) callCompletion(ctx context.Context, client *trial.Client, begin clock.Millis, result *Result) {
	req := trial.Request{Model: trial.Model, Prompt: result.Prompt, MaxTokens: result.OutputTokens, Stream: true, Profile: result.Class.Profile}
	reply, err := client.Complete(ctx, req, func(reply *trial.Reply) {
		if result.FirstToken == 0 && len(reply.Tokens) > 0 {
			result.FirstToken = max(1, r.clock.Now()-begin)
		}
	})
	result.Err = err
	if reply != nil {
		result.Tokens = len(reply.Tokens)
	}
	if err == nil {
		result.Wrong = !slices.Equal(reply.Tokens, fake.Answer(result.Prompt, result.OutputTokens))
	}
}

// runSlowdown slows down a share of the engines between Start and End of the
// slowdown, and moves on to the next engines at each interval RotateEvery.
func (r *runner) runSlowdown(ctx context.Context) {
	s := r.slowdown
	if s.Share == 0 || r.clock.Sleep(ctx, r.start+s.Start-r.clock.Now()) != nil {
		return
	}
	defer r.slowEngines(-1, Slowdown{})
	for rotation := 0; r.clock.Now() < r.start+s.End; rotation++ {
		r.slowEngines(rotation, s)
		next := s.End
		if s.RotateEvery > 0 {
			next = min(next, s.Start+clock.Millis(rotation+1)*s.RotateEvery)
		}
		if r.clock.Sleep(ctx, r.start+next-r.clock.Now()) != nil {
			return
		}
	}
}

// slowEngines slows down the share of the engines of each role that is selected
// by rotation, and restores the others. A negative rotation restores all.
func (r *runner) slowEngines(rotation int, s Slowdown) {
	for _, engines := range [][]*fake.Engine{r.cluster.Prefills, r.cluster.Decodes} {
		n := 0
		if rotation >= 0 {
			n = max(1, int(s.Share*float64(len(engines))+0.5))
		}
		for i, e := range engines {
			faults := fake.Faults{}
			if n > 0 && (i-rotation*n%len(engines)+len(engines))%len(engines) < n {
				faults.SlowFactor = s.Factor
			}
			e.Faults.Set(faults)
		}
	}
}

// waitForRelease waits until no engine holds memory, or until releaseTimeout.
// Pieces that are still held are reported as a leak in the row.
func (r *runner) waitForRelease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout.Duration())
	defer cancel()
	_ = trial.WaitUntil(ctx, func() bool { return heldPieces(r.cluster) == 0 })
}

// heldPieces returns the number of KV cache pieces held by all engines.
func heldPieces(cluster *trial.Cluster) int {
	n := 0
	for _, e := range append(cluster.Prefills, cluster.Decodes...) {
		n += e.HeldPieces()
	}
	return n
}

// outcome returns the label under which a call is counted: "ok", the error code,
// or "broken" for an error without a code, such as a lost connection.
func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	if e := codes.From(err); e.Code != codes.Internal {
		return e.Code.String()
	}
	return "broken"
}
