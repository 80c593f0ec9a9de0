package sched

import (
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
)

// Placement holds the upstreams of one attempt and the capacity reserved there
// until [Scheduler.Release].
type Placement struct {
	Prefill core.Upstream
	Decode  core.Upstream
	// Tokens counts the prompt's tokens.
	Tokens int
	// Pieces counts the pieces of decode memory.
	Pieces int
	// Output counts the decoded tokens. If it is zero, an attempt that ended
	// without an error is assumed to have decoded the maximum.
	Output int

	model      string
	maxOutput  int
	blocks     []uint64
	cacheBytes int64
	prefillID  uint64
	// prefillID identifies the prefill call in Upstreams. prefillWork, transferWork
	// and decodeWork are the work counted at the upstreams, zero once ended.
	prefillWork  pool.Work
	transferWork pool.Work
	decodeWork   pool.Work
	// hasMemory is set while decode memory is reserved in Scheduler.Memory, and
	// hasSlot while a slot is reserved in Scheduler.PrefillSlots.
	hasMemory    bool
	hasSlot      bool
	firstTokenAt clock.Millis
}

// reserve reserves the capacity for a choice, counts its work and stores the
// placement in pq. If another request has taken the capacity meanwhile, it reserves
// nothing and returns [codes.NoMemory].
func (s *Scheduler) reserve(pq *pendingQuery, choice route.Choice, buf *candidateBuffer) error {
	decode := buf.decodes[choice.Decode].Name
	p := &Placement{
		Tokens: pq.route.Tokens, Pieces: pq.route.Pieces, maxOutput: pq.route.Output,
		model: pq.query.Try.Request.Model, blocks: pq.blocks, cacheBytes: pq.route.Bytes,
		decodeWork: pool.Work{Requests: 1},
	}
	switch {
	case s.Memory == nil:
		p.decodeWork.Pieces = p.Pieces
	case !s.Memory.Reserve(decode, p.Pieces):
		return codes.New(codes.NoMemory, "%s: %d pieces", decode, p.Pieces)
	default:
		p.hasMemory = true
	}
	if s.PrefillSlots != nil && !pq.route.Exported {
		if !s.PrefillSlots.Reserve(buf.prefills[choice.Prefill].Name, 1) {
			s.releaseMemory(p, decode)
			return codes.New(codes.NoMemory, "%s: no free prefill slot", buf.prefills[choice.Prefill].Name)
		}
		p.hasSlot = true
	}
	s.Upstreams.Begin(decode, p.decodeWork)
	p.Decode = s.upstream(decode)
	if pq.route.Exported {
		s.startTransfer(p)
	} else {
		p.Prefill = s.upstream(buf.prefills[choice.Prefill].Name)
		p.prefillWork = pool.Work{Requests: 1, Tokens: choice.Tokens, Prompt: p.Tokens}
		p.prefillID = s.Upstreams.StartPrefill(p.Prefill.Name, p.prefillWork)
	}
	pq.placement = p
	return nil
}

// upstream returns the upstream with the given name.
func (s *Scheduler) upstream(name string) core.Upstream {
	state, _ := s.Upstreams.Get(name)
	return state.Upstream
}

// startTransfer counts the start of the decode call: the KV cache is in transit, and
// from now on the decode engine's own reports include the memory.
func (s *Scheduler) startTransfer(p *Placement) {
	p.transferWork = pool.Work{Bytes: p.cacheBytes, Held: p.Pieces}
	s.Upstreams.Begin(p.Decode.Name, p.transferWork)
	if p.Prefill.Name != "" {
		s.Upstreams.Begin(p.Prefill.Name, pool.Work{Bytes: p.cacheBytes})
	}
}

// endTransfer ends the accounting of the bytes in transit.
func (s *Scheduler) endTransfer(p *Placement) {
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

// PrefillDone records that the placement's prefill has ended with err and how long
// it took. It frees the prefill slot and, if err is nil, counts the start of the
// transfer. A prefill cancelled for its caller is not used as a measurement.
func (s *Scheduler) PrefillDone(p *Placement, took clock.Millis, err error) {
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
	s.Upstreams.FinishPrefill(p.Prefill.Name, p.prefillID, p.prefillWork, took, blocks)
	p.prefillWork = pool.Work{}
	s.releaseSlot(p)
	if err == nil {
		s.startTransfer(p)
	}
	s.wakeQueue(p)
}

// FirstToken records the time from the decode call to its first token, and ends
// the transfer.
func (s *Scheduler) FirstToken(p *Placement, took clock.Millis) {
	if p.firstTokenAt != 0 {
		return
	}
	p.firstTokenAt = s.Clock.Now()
	s.Upstreams.ObserveFirstToken(p.Decode.Name, took)
	s.endTransfer(p)
}

// releaseSlot releases the placement's prefill slot.
func (s *Scheduler) releaseSlot(p *Placement) {
	if p.hasSlot {
		p.hasSlot = false
		s.PrefillSlots.Release(p.Prefill.Name, 1)
	}
}

// releaseMemory releases the placement's decode memory at the named upstream.
func (s *Scheduler) releaseMemory(p *Placement, name string) {
	if p.hasMemory {
		p.hasMemory = false
		s.Memory.Release(name, p.Pieces)
	}
}

// Release releases all capacity of the placement. err is the result of the
// attempt. Further calls have no effect.
func (s *Scheduler) Release(p *Placement, err error) {
	if p.decodeWork == (pool.Work{}) {
		return
	}
	if p.prefillWork != (pool.Work{}) {
		s.Upstreams.FinishPrefill(p.Prefill.Name, p.prefillID, p.prefillWork, 0, nil)
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

// recordDecodeSpeed records the time per token after the first one, for the
// straggler detection.
func (s *Scheduler) recordDecodeSpeed(p *Placement, err error) {
	tokens := p.Output
	if tokens == 0 && err == nil {
		tokens = p.maxOutput
	}
	if p.firstTokenAt != 0 && tokens > 1 {
		s.Upstreams.ObserveTokens(p.Decode.Name, s.Clock.Now()-p.firstTokenAt, tokens-1)
	}
}

// wakeQueue wakes the requests that wait for the placement's model.
func (s *Scheduler) wakeQueue(p *Placement) {
	if !s.NoQueue {
		s.waitQueue(p.model).Wake()
	}
}
