package place

import (
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
)

// Placement is where one attempt runs. Everything that it stands for is held
// until [Placer.Release].
type Placement struct {
	Prefill core.Upstream
	Decode  core.Upstream
	// Tokens counts the prompt's tokens, and Pieces the decode memory.
	Tokens int
	Pieces int
	// Output counts the tokens that were decoded. Where it stays zero, an
	// attempt that ended well is taken to have given all.
	Output int

	model  string
	most   int
	blocks []uint64
	bytes  int64
	flight uint64
	// prefilling, moving and decoding are the counted work, zero once ended.
	prefilling pool.Work
	moving     pool.Work
	decoding   pool.Work
	leased     bool
	turn       bool
	firstAt    clock.Millis
}

// take reserves the memory and counts the work of a choice.
func (d *Placer) take(a *ask, c route.Choice, b *buffer) error {
	name := b.decodes[c.Decode].Name
	p := &Placement{
		Tokens: a.route.Tokens, Pieces: a.route.Pieces, most: a.route.Output,
		model: a.query.Try.Request.Model, blocks: a.blocks, bytes: a.route.Bytes,
		decoding: pool.Work{Requests: 1},
	}
	switch {
	case d.Memory == nil:
		p.decoding.Pieces = p.Pieces
	case !d.Memory.Take(name, p.Pieces):
		return codes.New(codes.NoMemory, "%s: %d pieces", name, p.Pieces)
	default:
		p.leased = true
	}
	if d.Turns != nil && !a.route.Export {
		if !d.Turns.Take(b.prefills[c.Prefill].Name, 1) {
			d.giveMemory(p, name)
			return codes.New(codes.NoMemory, "%s: no turn", b.prefills[c.Prefill].Name)
		}
		p.turn = true
	}
	d.Upstreams.Begin(name, p.decoding)
	p.Decode = d.upstream(name)
	if a.route.Export {
		d.move(p)
	} else {
		p.Prefill = d.upstream(b.prefills[c.Prefill].Name)
		p.prefilling = pool.Work{Requests: 1, Tokens: c.Tokens, Prompt: p.Tokens}
		p.flight = d.Upstreams.Start(p.Prefill.Name, p.prefilling)
	}
	a.placement = p
	return nil
}

func (d *Placer) upstream(name string) core.Upstream {
	s, _ := d.Upstreams.Get(name)
	return s.Upstream
}

// move counts the decode call, by which the engine knows of the memory and
// the KV cache is on its way.
func (d *Placer) move(p *Placement) {
	p.moving = pool.Work{Bytes: p.bytes, Held: p.Pieces}
	d.Upstreams.Begin(p.Decode.Name, p.moving)
	if p.Prefill.Name != "" {
		d.Upstreams.Begin(p.Prefill.Name, pool.Work{Bytes: p.bytes})
	}
}

// moved ends the count of bytes on their way.
func (d *Placer) moved(p *Placement) {
	if p.moving.Bytes == 0 {
		return
	}
	way := pool.Work{Bytes: p.moving.Bytes}
	p.moving.Bytes = 0
	d.Upstreams.End(p.Decode.Name, way)
	if p.Prefill.Name != "" {
		d.Upstreams.End(p.Prefill.Name, way)
	}
}

// Prefilled says that the placement's prefill has ended, and how long it
// took. The prefill's queue is free of it from here on.
func (d *Placer) Prefilled(p *Placement, took clock.Millis, err error) {
	if p.prefilling == (pool.Work{}) {
		return
	}
	blocks := p.blocks
	if err != nil {
		blocks = nil
	}
	if codes.Has(err, codes.CallerGone) {
		took = 0
	}
	d.Upstreams.Finish(p.Prefill.Name, p.flight, p.prefilling, took, blocks)
	p.prefilling = pool.Work{}
	d.giveTurn(p)
	if err == nil {
		d.move(p)
	}
	d.wake(p)
}

// FirstToken says that the decode upstream gave its first token so long after
// it was called.
func (d *Placer) FirstToken(p *Placement, took clock.Millis) {
	if p.firstAt != 0 {
		return
	}
	p.firstAt = d.Clock.Now()
	d.Upstreams.First(p.Decode.Name, took)
	d.moved(p)
}

// giveTurn lets another prefill go ahead at the upstream.
func (d *Placer) giveTurn(p *Placement) {
	if p.turn {
		p.turn = false
		d.Turns.Give(p.Prefill.Name, 1)
	}
}

func (d *Placer) giveMemory(p *Placement, name string) {
	if p.leased {
		p.leased = false
		d.Memory.Give(name, p.Pieces)
	}
}

// Release gives back what the placement holds. err is how the attempt ended.
func (d *Placer) Release(p *Placement, err error) {
	if p.decoding == (pool.Work{}) {
		return
	}
	if p.prefilling != (pool.Work{}) {
		d.Upstreams.Finish(p.Prefill.Name, p.flight, p.prefilling, 0, nil)
		p.prefilling = pool.Work{}
		d.giveTurn(p)
	}
	d.observe(p, err)
	d.moved(p)
	p.decoding.Held = p.moving.Held
	d.Upstreams.End(p.Decode.Name, p.decoding)
	p.decoding, p.moving = pool.Work{}, pool.Work{}
	d.giveMemory(p, p.Decode.Name)
	d.wake(p)
}

// observe tells how fast the answer came.
func (d *Placer) observe(p *Placement, err error) {
	tokens := p.Output
	if tokens == 0 && err == nil {
		tokens = p.most
	}
	if p.firstAt != 0 && tokens > 1 {
		d.Upstreams.Steps(p.Decode.Name, d.Clock.Now()-p.firstAt, tokens-1)
	}
}

func (d *Placer) wake(p *Placement) {
	if !d.Early {
		d.line(p.model).Wake()
	}
}
