package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"

	"lacewinghook.example/lacewinghook/chart"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/cost"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/pubdoc"
	"lacewinghook.example/lacewinghook/trial"
)

// Sample is what became of one arrival.
type Sample struct {
	Arrival
	// First and Last are the times to the first and the last token, and
	// Tokens the count of those that came.
	First  clock.Millis
	Last   clock.Millis
	Tokens int
	// Err is nil if the answer came whole.
	Err error
	// Wrong says that the answer was not the one that was due.
	Wrong bool
}

// drive meets one seed's arrivals with one policy.
type drive struct {
	plan   *Plan
	policy Policy
	slow   Slow
	set    *trial.Set
	client *http.Client
	clock  clock.Clock
	start  clock.Millis

	mu      sync.Mutex
	samples []Sample
}

// settleTimeout bounds the wait for the engines to be empty after a run.
const settleTimeout = 10 * clock.Second

// maxIdle bounds the kept connections to one entry.
const maxIdle = 512

// runOne starts a set, meets the arrivals and returns the row.
func runOne(ctx context.Context, p *Plan, policy Policy, seed uint64) (chart.Row, error) {
	arrivals := p.Arrivals(seed)
	set, err := trial.Start(p.trial(policy))
	if err != nil {
		return chart.Row{}, err
	}
	defer set.Stop()
	d := &drive{plan: p, policy: policy, slow: p.Slow, set: set}
	if policy.Slow != nil {
		d.slow = *policy.Slow
	}
	d.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdle}}
	defer d.client.CloseIdleConnections()
	cpu, peer := cost.CPU(), set.Traffic().Peer.Bytes
	d.run(ctx, arrivals)
	took := float64(d.clock.Now()-d.start) / float64(clock.Second)
	peer = set.Traffic().Peer.Bytes - peer
	row := summarize(p, policy, d.samples)
	row.Seed = seed
	row.CPU = float64(cost.CPU()-cpu) / float64(max(1, len(arrivals)))
	// Each byte between entries leaves one of them and reaches another.
	row.Peer = 2 * float64(peer) / took / float64(len(set.Entries))
	d.settle(ctx)
	addEngines(&row, set)
	addPromises(&row, set)
	return row, ctx.Err()
}

// trial returns the set that the policy is run on.
func (p *Plan) trial(policy Policy) trial.Plan {
	s := p.Stand
	return trial.Plan{
		Entries: s.Entries, Prefills: s.Prefills, Decodes: s.Decodes, Services: s.Services,
		Speed:  fake.Speed{PrefillRate: s.Prefill, StepTime: s.Step, LinkRate: s.Rate, TokenBytes: s.TokenBytes},
		Pieces: s.Pieces,
		Linger: 1,
		Tune: func(e *fake.Engine) {
			e.Pieces = s.Pieces
			e.ExportTTL = s.ExportLife
			e.ReportLag = s.ReportLag
		},
		Edit: p.edit,
		Setup: func(c *config.Settings) {
			if len(policy.Settings) > 0 {
				// The plan was checked by decoding it into settings before.
				_ = json.Unmarshal(policy.Settings, c)
			}
		},
	}
}

// edit publishes the plan's profiles and workspaces.
func (p *Plan) edit(doc *core.Document) {
	doc.Profiles = append(doc.Profiles, p.Profiles...)
	known := map[string]bool{trial.Workspace: true}
	for _, m := range p.Mixes {
		if m.Workspace == "" || known[m.Workspace] {
			continue
		}
		known[m.Workspace] = true
		doc.Workspaces = append(doc.Workspaces, core.Workspace{
			Name: m.Workspace, Profile: doc.Profiles[0].Name, Keys: []string{pubdoc.Digest(keyOf(m.Workspace))},
		})
	}
}

// keyOf returns the key of a workspace of the load.
func keyOf(workspace string) string {
	if workspace == "" || workspace == trial.Workspace {
		return trial.Key
	}
	return "load-" + workspace
}

// run makes each call at its time and waits for all answers.
func (d *drive) run(ctx context.Context, arrivals []Arrival) {
	d.start = d.clock.Now()
	slowCtx, end := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { d.runSlow(slowCtx) })
	var calls sync.WaitGroup
	for _, a := range arrivals {
		if d.clock.Sleep(ctx, d.start+a.At-d.clock.Now()) != nil {
			break
		}
		calls.Go(func() { d.call(ctx, a) })
	}
	calls.Wait()
	end()
	wg.Wait()
}

func (d *drive) call(ctx context.Context, a Arrival) {
	s := Sample{Arrival: a}
	c := d.set.Client(a.Number % len(d.set.Entries))
	c.HTTP = d.client
	c.Key = keyOf(a.Mix.Workspace)
	begin := d.clock.Now()
	switch a.Mix.Kind {
	case Verse:
		d.verse(ctx, c, begin, &s)
	case Lookup:
		_, s.Err = c.Service(ctx, http.MethodGet, "/stock/burr", "", nil)
	case Order:
		key := fmt.Sprintf("order-%d", a.Number)
		_, s.Err = c.Service(ctx, http.MethodPost, "/orders", key, []byte(key))
	}
	s.Last = d.clock.Now() - begin
	if a.Mix.Kind != Verse {
		s.First = s.Last
	}
	d.mu.Lock()
	d.samples = append(d.samples, s)
	d.mu.Unlock()
}

func (d *drive) verse(ctx context.Context, c *trial.Client, begin clock.Millis, s *Sample) {
	ask := trial.Ask{Model: trial.Model, Prompt: s.Prompt, MaxTokens: s.Answer, Stream: true, Profile: s.Mix.Profile}
	r, err := c.Complete(ctx, ask, func(r *trial.Reply) {
		if s.First == 0 && len(r.Tokens) > 0 {
			s.First = max(1, d.clock.Now()-begin)
		}
	})
	s.Err = err
	if r != nil {
		s.Tokens = len(r.Tokens)
	}
	if err == nil {
		s.Wrong = !slices.Equal(r.Tokens, fake.Answer(s.Prompt, s.Answer))
	}
}

// runSlow slows a share of the engines during the plan's window.
func (d *drive) runSlow(ctx context.Context) {
	s := d.slow
	if s.Share == 0 || d.clock.Sleep(ctx, d.start+s.From-d.clock.Now()) != nil {
		return
	}
	defer d.slowdown(-1, Slow{})
	for turn := 0; d.clock.Now() < d.start+s.To; turn++ {
		d.slowdown(turn, s)
		next := s.To
		if s.Every > 0 {
			next = min(next, s.From+clock.Millis(turn+1)*s.Every)
		}
		if d.clock.Sleep(ctx, d.start+next-d.clock.Now()) != nil {
			return
		}
	}
}

// slowdown slows the turn's share of each role; a negative turn slows none.
func (d *drive) slowdown(turn int, s Slow) {
	for _, engines := range [][]*fake.Engine{d.set.Prefills, d.set.Decodes} {
		n := 0
		if turn >= 0 {
			n = max(1, int(s.Share*float64(len(engines))+0.5))
		}
		for i, e := range engines {
			ills := fake.Ills{}
			if n > 0 && (i-turn*n%len(engines)+len(engines))%len(engines) < n {
				ills.Slow = s.Times
			}
			e.Trouble.Set(ills)
		}
	}
}

// settle waits until no engine holds memory.
func (d *drive) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout.Duration())
	defer cancel()
	_ = trial.Until(ctx, func() bool { return held(d.set) == 0 })
}

func held(set *trial.Set) int {
	n := 0
	for _, e := range append(set.Prefills, set.Decodes...) {
		n += e.HeldPieces()
	}
	return n
}

// outcome names how a call ended.
func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	if e := codes.From(err); e.Code != codes.Internal {
		return e.Code.String()
	}
	return "broken"
}
