package sched

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/limit"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
	"lacewinghook.example/lacewinghook/shard"
)

// Upstreams holds the state and the in-flight work of the upstreams. [pool.Table]
// documents the methods.
type Upstreams interface {
	Candidates(role core.Role, model string, blocks []uint64, buf []route.Candidate) []route.Candidate
	Get(name string) (pool.UpstreamState, bool)
	MaxPieces(role core.Role, model string) (pieces int)
	Begin(name string, w pool.Work)
	End(name string, w pool.Work)
	StartPrefill(name string, w pool.Work) (id uint64)
	FinishPrefill(name string, id uint64, w pool.Work, took clock.Millis, blocks []uint64)
	ObserveFirstToken(name string, took clock.Millis)
	ObserveTokens(name string, took clock.Millis, tokens int)
}

// Chooser selects the upstreams of a request.
type Chooser interface {
	Choose(q route.Query, prefills, decodes []route.Candidate) (c route.Choice, ok bool)
}

// Capacity grants units of a resource of the upstreams, such as pieces of decode
// memory or prefill slots, within the share of this entry. Its methods must not
// block.
type Capacity interface {
	// Available returns the number of units available at an upstream. count is the
	// number of free units by local counts and the upstream's reports.
	Available(name string, count int) int
	// Reserve takes units. It returns false, and takes none, if too few are
	// available.
	Reserve(name string, units int) bool
	// Release returns units taken by Reserve.
	Release(name string, units int)
	// ReportShortage reports that a request needs this many units and none of
	// the upstreams has them available.
	ReportShortage(upstreams []route.Candidate, units int)
}

// Scheduler places attempts. Upstreams and Chooser are required.
type Scheduler struct {
	Upstreams Upstreams
	Chooser   Chooser
	// Memory grants decode memory. If nil, no decode memory is reserved.
	Memory Capacity
	// PrefillSlots limits the concurrent prefills at each upstream. If it is
	// set, the reported queues are divided by ten (staleQueueDivisor). If nil, the
	// number isn't limited.
	PrefillSlots Capacity
	Clock        clock.Clock
	Meter        *meter.Registry
	// Centre is the data centre of this entry.
	Centre string
	// TokenBytes is the size of one token's KV cache; zero means
	// defaultTokenBytes.
	TokenBytes int64
	// MaxQueueTime bounds the queue of a prefill upstream, in milliseconds of
	// work; with a longer queue it is not selected. Zero means
	// defaultMaxQueueTime.
	MaxQueueTime clock.Millis
	// NoQueue sends each request without waiting, NoEarlyReject disables
	// rejection by the predicted time to first token, and NoFairShare ignores
	// the shares of workspaces. They serve as baselines for comparison.
	NoQueue       bool
	NoEarlyReject bool
	NoFairShare   bool

	// waitQueues holds one wait queue per model.
	waitQueues shard.Map[string, *limit.Queue]
}

// Defaults of the fields of a [Scheduler].
const (
	defaultTokenBytes                = 1024
	defaultMaxQueueTime clock.Millis = 60
)

// Query describes an attempt to place.
type Query struct {
	Try core.Try
	// Failed lists the upstreams that failed this request, oldest first. They
	// are avoided if others are available.
	Failed []string
	// Export, if not nil, is a prefill result that needs only a decode
	// upstream. The placement then has no prefill upstream.
	Export *core.Export
}

// Place waits until the attempt can run and reserves its capacity. An error
// means that the attempt did not run.
func (s *Scheduler) Place(ctx context.Context, q Query) (*Placement, error) {
	pq := s.prepare(q)
	err := s.checkFeasible(pq)
	if err == nil && s.NoQueue {
		err = s.tryPlace(pq)
	} else if err == nil {
		err = withRetryAfter(s.waitQueue(q.Try.Request.Model).Wait(ctx, s.ticket(pq)))
	}
	if err == nil {
		return pq.placement, nil
	}
	e := codes.From(err)
	if q.Try.Attempt > 1 {
		e = e.WithRun(codes.Unknown)
	}
	return nil, e
}

// pendingQuery is a query with the values derived from it.
type pendingQuery struct {
	query  Query
	route  route.Query
	blocks []uint64
	// target is when the first token is due, and latest the last instant at
	// which it is still useful.
	target    clock.Millis
	latest    clock.Millis
	placement *Placement
}

// prepare derives the memory size, the cache blocks and the time limits of a query.
func (s *Scheduler) prepare(q Query) *pendingQuery {
	r := q.Try.Request
	tokens := core.TokenEstimate(r.Prompt) + core.TokenEstimate(q.Try.SentText)
	output := r.MaxTokens - q.Try.SentTokens
	size := s.TokenBytes
	if size == 0 {
		size = defaultTokenBytes
	}
	pq := &pendingQuery{query: q, route: route.Query{
		Tokens: tokens, Pieces: core.Pieces(tokens + output), Output: output,
		Bytes: int64(tokens) * size, Centre: s.Centre, Exported: q.Export != nil,
	}}
	if q.Export == nil {
		pq.blocks = core.Blocks(r.Prompt)
	}
	pq.target = r.Arrived + r.Profile.FirstToken
	if r.Profile.FirstToken == 0 {
		pq.target = s.Clock.Now() + defaultTarget
	}
	pq.latest = pq.target + r.Profile.Patience
	if r.Deadline != 0 {
		pq.latest = min(pq.latest, r.Deadline)
	}
	if q.Export != nil {
		pq.latest = min(pq.latest, q.Export.Expires)
	}
	return pq
}

// defaultTarget is the first-token target of a profile that sets none.
const defaultTarget = clock.Minute

// checkFeasible rejects a request whose deadline has passed or that is too long
// for every decode upstream.
func (s *Scheduler) checkFeasible(pq *pendingQuery) error {
	r := pq.query.Try.Request
	now := s.Clock.Now()
	switch largest := s.Upstreams.MaxPieces(core.Decode, r.Model); {
	case r.Deadline != 0 && now >= r.Deadline:
		return codes.New(codes.DeadlinePast, "%d ms ago", now-r.Deadline)
	case largest > 0 && pq.route.Pieces > largest:
		return codes.New(codes.TooLong, "needs %d pieces of memory, the largest decode upstream has %d", pq.route.Pieces, largest)
	}
	return nil
}

// ticket returns the wait queue's entry for a query.
func (s *Scheduler) ticket(pq *pendingQuery) limit.Ticket {
	r := pq.query.Try.Request
	return limit.Ticket{
		Workspace: r.Workspace, Weight: r.Weight, Cost: pq.route.Tokens,
		Target: pq.target, Latest: pq.latest, TimeToFirstToken: s.idleFirstToken(pq),
		Urgent: pq.query.Try.Attempt > 1 || pq.route.Exported,
		Try: func() (bool, error) {
			err := s.tryPlace(pq)
			if codes.Has(err, codes.NoMemory) {
				return false, nil
			}
			return err == nil, err
		},
	}
}

// idleFirstToken predicts the time to first token at the best pair of upstreams as
// if all upstreams were idle. The wait queue adds the predicted wait to it.
func (s *Scheduler) idleFirstToken(pq *pendingQuery) clock.Millis {
	buf := s.loadCandidates(pq)
	defer buffers.Put(buf)
	for i := range buf.prefills {
		buf.prefills[i].QueuedTokens = 0
		buf.prefills[i].TransferBytes = 0
	}
	for i := range buf.decodes {
		buf.decodes[i].Free = pq.route.Pieces
		buf.decodes[i].TransferBytes = 0
	}
	q := pq.route
	q.MaxQueue = 0
	choice, _ := s.Chooser.Choose(q, buf.prefills, buf.decodes)
	return choice.FirstToken
}

// waitQueue returns the queue of requests for a model.
func (s *Scheduler) waitQueue(model string) *limit.Queue {
	return s.waitQueues.Ensure(model, func() *limit.Queue {
		return &limit.Queue{Clock: s.Clock, NoFairShare: s.NoFairShare, NoEarlyReject: s.NoEarlyReject}
	})
}

// Wake places the waiting requests for which capacity has become available. It is
// called when capacity may have been freed by others than this scheduler.
func (s *Scheduler) Wake() {
	for _, q := range s.waitQueues.Values() {
		q.Wake()
	}
}

// Waiting returns the number of queued requests.
func (s *Scheduler) Waiting() int {
	n := 0
	s.waitQueues.Each(func(_ string, q *limit.Queue) bool {
		n += q.Len()
		return true
	})
	return n
}

// candidateBuffer holds the candidates of one selection.
type candidateBuffer struct {
	prefills, decodes []route.Candidate
}

var buffers = sync.Pool{New: func() any { return &candidateBuffer{} }}

// loadCandidates fills a buffer with the candidates for a query. The caller returns
// it to buffers.
func (s *Scheduler) loadCandidates(pq *pendingQuery) *candidateBuffer {
	buf := buffers.Get().(*candidateBuffer)
	model, failed := pq.query.Try.Request.Model, pq.query.Failed
	buf.prefills = buf.prefills[:0]
	if !pq.route.Exported {
		buf.prefills = excludeFailed(s.Upstreams.Candidates(core.Prefill, model, pq.blocks, buf.prefills), failed)
	}
	if s.PrefillSlots != nil {
		for i := range buf.prefills {
			c := &buf.prefills[i]
			c.Free = s.PrefillSlots.Available(c.Name, 1)
			c.QueuedTokens /= staleQueueDivisor
		}
	}
	buf.decodes = excludeFailed(s.Upstreams.Candidates(core.Decode, model, nil, buf.decodes[:0]), failed)
	if s.Memory != nil {
		for i := range buf.decodes {
			c := &buf.decodes[i]
			c.Free = s.Memory.Available(c.Name, c.Free)
		}
	}
	return buf
}

// excludeFailed removes the upstreams that failed this request. If all have
// failed, it removes only the one that failed last. A single candidate is never
// removed.
func excludeFailed(candidates []route.Candidate, failed []string) []route.Candidate {
	if len(failed) == 0 || len(candidates) < 2 {
		return candidates
	}
	usable := func(c route.Candidate) bool { return !slices.Contains(failed, c.Name) }
	if slices.ContainsFunc(candidates, usable) {
		return slices.DeleteFunc(candidates, func(c route.Candidate) bool { return !usable(c) })
	}
	last := lastFailed(candidates, failed)
	return slices.DeleteFunc(candidates, func(c route.Candidate) bool { return c.Name == last })
}

// lastFailed returns the candidate that failed last, or "" if none has.
func lastFailed(candidates []route.Candidate, failed []string) string {
	for _, name := range slices.Backward(failed) {
		if slices.ContainsFunc(candidates, func(c route.Candidate) bool { return c.Name == name }) {
			return name
		}
	}
	return ""
}

// tryPlace selects a pair of upstreams and reserves capacity there. It returns
// [codes.NoMemory] if the attempt may succeed later.
func (s *Scheduler) tryPlace(pq *pendingQuery) error {
	buf := s.loadCandidates(pq)
	defer buffers.Put(buf)
	model := pq.query.Try.Request.Model
	if len(buf.decodes) == 0 || len(buf.prefills) == 0 && !pq.route.Exported {
		return codes.New(codes.NoUpstream, "model %q", model)
	}
	pq.route.Seed = rand.Uint64()
	pq.route.MaxQueue = s.maxQueueTime()
	if !buf.anyDecodeFits(pq.route.Pieces) && s.Memory != nil {
		s.Memory.ReportShortage(buf.decodes, pq.route.Pieces)
		return codes.New(codes.NoMemory, "model %q: %d pieces", model, pq.route.Pieces)
	}
	prefills := buf.prefills
	if s.PrefillSlots != nil && !pq.route.Exported {
		prefills = buf.withSlots()
		if len(prefills) == 0 {
			s.PrefillSlots.ReportShortage(buf.prefills, 1)
			return codes.New(codes.NoMemory, "model %q: no free prefill slot", model)
		}
	}
	choice, ok := s.Chooser.Choose(pq.route, prefills, buf.decodes)
	if !ok {
		return codes.New(codes.NoMemory, "model %q: %d pieces", model, pq.route.Pieces)
	}
	if err := s.checkFirstToken(pq, choice); err != nil {
		return err
	}
	return s.reserve(pq, choice, buf)
}

// withSlots moves the prefills with a free slot to the front and returns them.
func (b *candidateBuffer) withSlots() []route.Candidate {
	n := 0
	for i := range b.prefills {
		if b.prefills[i].Free > 0 {
			b.prefills[n], b.prefills[i] = b.prefills[i], b.prefills[n]
			n++
		}
	}
	return b.prefills[:n]
}

// anyDecodeFits reports whether any decode upstream has enough free memory.
func (b *candidateBuffer) anyDecodeFits(pieces int) bool {
	return slices.ContainsFunc(b.decodes, func(c route.Candidate) bool { return c.Free >= pieces })
}

// staleQueueDivisor divides the reported prefill queues if prefill slots are used.
// The slots keep the queues short, so most of the work in a late report is already
// done. The remainder limits the queues while no owner of the slots answers.
const staleQueueDivisor = 10

// maxQueueTime returns the longest queue, in milliseconds of work, of a prefill
// that may be selected; zero means no limit.
func (s *Scheduler) maxQueueTime() clock.Millis {
	switch {
	case s.NoQueue:
		return 0
	case s.MaxQueueTime == 0:
		return defaultMaxQueueTime
	}
	return s.MaxQueueTime
}

// checkFirstToken returns an error if the predicted first token is later than the
// profile allows, so that the request is rejected before any of it runs. Retries
// are not rejected, since work was already done for them.
func (s *Scheduler) checkFirstToken(pq *pendingQuery, choice route.Choice) error {
	late := s.Clock.Now() + choice.FirstToken - pq.latest
	if s.NoEarlyReject || late <= 0 || pq.query.Try.Attempt > 1 || pq.route.Exported {
		return nil
	}
	return codes.New(codes.DeadlineUnmet, "predicted first token %d ms too late", late).WithRetryAfter(max(late, minRetryAfter))
}

// withRetryAfter adds the shortest time to the error of a request that was rejected by the
// wait queue if the queue couldn't predict one.
func withRetryAfter(err error) error {
	var e *codes.Error
	if !errors.As(err, &e) || e.RetryAfter > 0 || e.Code != codes.DeadlineUnmet && e.Code != codes.QueueFull {
		return err
	}
	return e.WithRetryAfter(minRetryAfter)
}

// minRetryAfter is the shortest retry-after time of a rejected request.
const minRetryAfter clock.Millis = 50
