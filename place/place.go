package place

import (
	"context"
	"math/rand/v2"
	"slices"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
)

// Upstreams is what is known of the upstreams.
type Upstreams interface {
	Candidates(role core.Role, model string, blocks []uint64, buf []route.Candidate) []route.Candidate
	Get(name string) (pool.State, bool)
	Begin(name string, w pool.Work)
	End(name string, w pool.Work)
}

// Chooser chooses the upstreams of a request.
type Chooser interface {
	Choose(q route.Query, prefills, decodes []route.Candidate) (c route.Choice, ok bool)
}

// Desk places attempts. Upstreams and Chooser are needed.
type Desk struct {
	Upstreams Upstreams
	Chooser   Chooser
	Clock     clock.Clock
	Meter     *meter.Set
	// Centre is the data centre of this entry.
	Centre string
}

// Query is what is to be placed.
type Query struct {
	Try core.Try
	// Failed are the upstreams that failed this request; another one is taken
	// where there is one.
	Failed []string
	// Export, if not nil, is a prefill's result that only needs a decode
	// upstream: the placement then has no prefill.
	Export *core.Export
}

// Placement is where one attempt runs. Everything that it stands for is held
// until [Desk.Release].
type Placement struct {
	Prefill core.Upstream
	Decode  core.Upstream
	// Tokens counts the prompt's tokens, and Pieces the decode memory.
	Tokens int
	Pieces int

	prefilling pool.Work
	decoding   pool.Work
}

// Place returns a placement, or an error with Run [codes.NotRun].
func (d *Desk) Place(_ context.Context, q Query) (*Placement, error) {
	r := q.Try.Request
	p := &Placement{Tokens: core.TokenEstimate(r.Prompt) + core.TokenEstimate(q.Try.Prior)}
	p.Pieces = core.Pieces(p.Tokens + r.MaxTokens - q.Try.Sent)
	prefills := d.candidates(core.Prefill, r.Model, q.Failed)
	decodes := d.candidates(core.Decode, r.Model, q.Failed)
	c, ok := d.Chooser.Choose(route.Query{
		Tokens: p.Tokens, Pieces: p.Pieces, Centre: d.Centre, Draw: rand.Uint64(),
	}, prefills, decodes)
	if !ok {
		return nil, codes.New(codes.NoUpstream, "model %q", r.Model)
	}
	p.Decode = d.upstream(decodes[c.Decode].Name)
	p.decoding = pool.Work{Requests: 1, Pieces: p.Pieces}
	d.Upstreams.Begin(p.Decode.Name, p.decoding)
	if q.Export == nil {
		p.Prefill = d.upstream(prefills[c.Prefill].Name)
		p.prefilling = pool.Work{Requests: 1, Tokens: p.Tokens}
		d.Upstreams.Begin(p.Prefill.Name, p.prefilling)
	}
	return p, nil
}

// candidates leaves out the upstreams that failed this request, unless no
// other is left.
func (d *Desk) candidates(role core.Role, model string, failed []string) []route.Candidate {
	all := d.Upstreams.Candidates(role, model, nil, nil)
	var kept []route.Candidate
	for _, c := range all {
		if !slices.Contains(failed, c.Name) {
			kept = append(kept, c)
		}
	}
	if len(kept) == 0 {
		return all
	}
	return kept
}

func (d *Desk) upstream(name string) core.Upstream {
	s, _ := d.Upstreams.Get(name)
	return s.Upstream
}

// Prefilled says that the placement's prefill has ended, and how long it
// took. The prefill's queue is free of it from here on.
func (d *Desk) Prefilled(p *Placement, _ clock.Millis, _ error) {
	if p.prefilling != (pool.Work{}) {
		d.Upstreams.End(p.Prefill.Name, p.prefilling)
		p.prefilling = pool.Work{}
	}
}

// FirstToken says that the decode upstream gave its first token so long after
// it was called.
func (d *Desk) FirstToken(*Placement, clock.Millis) {}

// Release gives back what the placement holds. err is how the attempt ended.
func (d *Desk) Release(p *Placement, err error) {
	d.Prefilled(p, 0, err)
	if p.decoding != (pool.Work{}) {
		d.Upstreams.End(p.Decode.Name, p.decoding)
		p.decoding = pool.Work{}
	}
}
