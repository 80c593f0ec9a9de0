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

	model      string
	maxOutput  int
	blocks     []uint64
	cacheBytes int64
	flight     uint64
	// prefilling, moving and decoding are the counted work, zero once ended.
	prefillWork  pool.Work
	transferWork pool.Work
	decodeWork   pool.Work
	leased       bool
	hasSlot      bool
	firstTokenAt clock.Millis
}

// reserve reserves the memory and counts the work of a choice.
func (s *Placer) reserve(a *pendingQuery, c route.Choice, b *candidateBuffer) error {
	name := b.decodes[c.Decode].Name
	p := &Placement{
		Tokens: a.route.Tokens, Pieces: a.route.Pieces, maxOutput: a.route.Output,
		model: a.query.Try.Request.Model, blocks: a.blocks, cacheBytes: a.route.Bytes,
		decodeWork: pool.Work{Requests: 1},
	}
	switch {
	case s.Memory == nil:
		p.decodeWork.Pieces = p.Pieces
	case !s.Memory.Take(name, p.Pieces):
		return codes.New(codes.NoMemory, "%s: %d pieces", name, p.Pieces)
	default:
		p.leased = true
	}
	if s.Turns != nil && !a.route.Export {
		if !s.Turns.Take(b.prefills[c.Prefill].Name, 1) {
			s.releaseMemory(p, name)
			return codes.New(codes.NoMemory, "%s: no turn", b.prefills[c.Prefill].Name)
		}
		p.hasSlot = true
	}
	s.Upstreams.Begin(name, p.decodeWork)
	p.Decode = s.upstream(name)
	if a.route.Export {
		s.startTransfer(p)
	} else {
		p.Prefill = s.upstream(b.prefills[c.Prefill].Name)
		p.prefillWork = pool.Work{Requests: 1, Tokens: c.Tokens, Prompt: p.Tokens}
		p.flight = s.Upstreams.Start(p.Prefill.Name, p.prefillWork)
	}
	a.placement = p
	return nil
}

func (s *Placer) upstream(name string) core.Upstream {
	state, _ := s.Upstreams.Get(name)
	return state.Upstream
}

// startTransfer counts the decode call, by which the engine knows of the memory and
// the KV cache is on its way.
func (s *Placer) startTransfer(p *Placement) {
	p.transferWork = pool.Work{Bytes: p.cacheBytes, Held: p.Pieces}
	s.Upstreams.Begin(p.Decode.Name, p.transferWork)
	if p.Prefill.Name != "" {
		s.Upstreams.Begin(p.Prefill.Name, pool.Work{Bytes: p.cacheBytes})
	}
}

// endTransfer ends the count of bytes on their way.
func (s *Placer) endTransfer(p *Placement) {
	if p.transferWork.Bytes == 0 {
		return
	}
	transfer := pool.Work{Bytes: p.transferWork.Bytes}
	p.transferWork.Bytes = 0
	s.Upstreams.End(p.Decode.Name, transfer)
	if p.Prefill.Name != "" {
		s.Upstreams.End(p.Prefill.Name, transfer)
	}
}

// Prefilled says that the placement's prefill has ended, and how long it
// took. The prefill's queue is free of it from here on.
func (s *Placer) Prefilled(p *Placement, took clock.Millis, err error) {
	if p.prefillWork == (pool.Work{}) {
		return
	}
	blocks := p.blocks
	if err != nil {
		blocks = nil
	}
	if codes.Has(err, codes.CallerGone) {
		took = 0
	}
	s.Upstreams.Finish(p.Prefill.Name, p.flight, p.prefillWork, took, blocks)
	p.prefillWork = pool.Work{}
	s.releaseSlot(p)
	if err == nil {
		s.startTransfer(p)
	}
	s.wakeQueue(p)
}

// FirstToken says that the decode upstream gave its first token so long after
// it was called.
func (s *Placer) FirstToken(p *Placement, took clock.Millis) {
	if p.firstTokenAt != 0 {
		return
	}
	p.firstTokenAt = s.Clock.Now()
	s.Upstreams.First(p.Decode.Name, took)
	s.endTransfer(p)
}

// releaseSlot lets another prefill go ahead at the upstream.
func (s *Placer) releaseSlot(p *Placement) {
	if p.hasSlot {
		p.hasSlot = false
		s.Turns.Give(p.Prefill.Name, 1)
	}
}

func (s *Placer) releaseMemory(p *Placement, name string) {
	if p.leased {
		p.leased = false
		s.Memory.Give(name, p.Pieces)
	}
}

// Release gives back what the placement holds. err is how the attempt ended.
func (s *Placer) Release(p *Placement, err error) {
	if p.decodeWork == (pool.Work{}) {
		return
	}
	if p.prefillWork != (pool.Work{}) {
		s.Upstreams.Finish(p.Prefill.Name, p.flight, p.prefillWork, 0, nil)
		p.prefillWork = pool.Work{}
		s.releaseSlot(p)
	}
	s.recordDecodeSpeed(p, err)
	s.endTransfer(p)
	p.decodeWork.Held = p.transferWork.Held
	s.Upstreams.End(p.Decode.Name, p.decodeWork)
	p.decodeWork, p.transferWork = pool.Work{}, pool.Work{}
	s.releaseMemory(p, p.Decode.Name)
	s.wakeQueue(p)
}

// recordDecodeSpeed tells how fast the answer came.
func (s *Placer) recordDecodeSpeed(p *Placement, err error) {
	tokens := p.Output
	if tokens == 0 && err == nil {
		tokens = p.maxOutput
	}
	if p.firstTokenAt != 0 && tokens > 1 {
		s.Upstreams.Steps(p.Decode.Name, s.Clock.Now()-p.firstTokenAt, tokens-1)
	}
}

func (s *Placer) wakeQueue(p *Placement) {
	if !s.Early {
		s.waitQueue(p.model).Wake()
	}
}
