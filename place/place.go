package place

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/limit"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/route"
	"lacewinghook.example/lacewinghook/shard"
)

// Upstreams is what is known of the upstreams.
type Upstreams interface {
	Candidates(role core.Role, model string, blocks []uint64, buf []route.Candidate) []route.Candidate
	Get(name string) (pool.State, bool)
	Largest(role core.Role, model string) (pieces int)
	Begin(name string, w pool.Work)
	End(name string, w pool.Work)
	Start(name string, w pool.Work) (flight uint64)
	Finish(name string, flight uint64, w pool.Work, took clock.Millis, blocks []uint64)
	First(name string, took clock.Millis)
	Steps(name string, took clock.Millis, tokens int)
}

// Chooser chooses the upstreams of a request.
type Chooser interface {
	Choose(q route.Query, prefills, decodes []route.Candidate) (c route.Choice, ok bool)
}

// Memory is the decode memory that this entry may give out. It must not
// block.
type Memory interface {
	// Free returns the pieces that can be taken, where count is what the
	// upstream's own count says.
	Free(name string, count int) int
	// Take takes pieces and reports whether there were enough.
	Take(name string, pieces int) bool
	Give(name string, pieces int)
	// Short says that a request for pieces found no room at any of the
	// upstreams.
	Short(decodes []route.Candidate, pieces int)
}

// Placer places attempts. Upstreams and Chooser are needed.
type Placer struct {
	Upstreams Upstreams
	Chooser   Chooser
	// Memory, if nil, leaves decode memory unreserved.
	Memory Memory
	// Turns, if not nil, are the prefills that may be under way at each
	// upstream; the queues that reports show then count a tenth.
	Turns Memory
	Clock clock.Clock
	Meter *meter.Set
	// Centre is the data centre of this entry.
	Centre string
	// TokenBytes is the size of one token's KV cache; zero is
	// defaultTokenBytes.
	TokenBytes int64
	// Ahead is the work, in milliseconds, that may wait before a prefill for
	// another request to be sent there; zero is defaultAhead.
	Ahead clock.Millis
	// Early sends each request out at once, Hopeful refuses none by its
	// predicted first token, and Unfair leaves the workspaces' shares out.
	// They are there for comparison.
	Early   bool
	Hopeful bool
	Unfair  bool

	lines shard.Map[string, *limit.Line]
}

// The defaults of a [Placer].
const (
	defaultTokenBytes              = 1024
	defaultAhead      clock.Millis = 60
)

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

// Place returns a placement, or an error that says that the attempt did not
// run.
func (d *Placer) Place(ctx context.Context, q Query) (*Placement, error) {
	a := d.prepare(q)
	err := d.check(a)
	if err == nil && d.Early {
		err = d.at(a)
	} else if err == nil {
		err = d.line(q.Try.Request.Model).Wait(ctx, d.ticket(a))
	}
	if err == nil {
		return a.placement, nil
	}
	fault := codes.From(err)
	if q.Try.Attempt > 1 {
		fault = fault.WithRun(codes.Unknown)
	}
	return nil, fault
}

// ask is one query on its way.
type ask struct {
	query     Query
	route     route.Query
	blocks    []uint64
	target    clock.Millis
	latest    clock.Millis
	placement *Placement
}

func (d *Placer) prepare(q Query) *ask {
	r := q.Try.Request
	tokens := core.TokenEstimate(r.Prompt) + core.TokenEstimate(q.Try.Prior)
	output := r.MaxTokens - q.Try.Sent
	size := d.TokenBytes
	if size == 0 {
		size = defaultTokenBytes
	}
	a := &ask{query: q, route: route.Query{
		Tokens: tokens, Pieces: core.Pieces(tokens + output), Output: output,
		Bytes: int64(tokens) * size, Centre: d.Centre, Export: q.Export != nil,
	}}
	if q.Export == nil {
		a.blocks = core.Blocks(r.Prompt)
	}
	a.target = r.Arrived + r.Profile.FirstToken
	if r.Profile.FirstToken == 0 {
		a.target = d.Clock.Now() + noTarget
	}
	a.latest = a.target + r.Profile.Patience
	if r.Deadline != 0 {
		a.latest = min(a.latest, r.Deadline)
	}
	if q.Export != nil {
		a.latest = min(a.latest, q.Export.Expires)
	}
	return a
}

// noTarget stands for the target of a profile that has none.
const noTarget = clock.Minute

// check refuses what no upstream could ever take, or not any more.
func (d *Placer) check(a *ask) error {
	r := a.query.Try.Request
	now := d.Clock.Now()
	switch largest := d.Upstreams.Largest(core.Decode, r.Model); {
	case r.Deadline != 0 && now >= r.Deadline:
		return codes.New(codes.DeadlinePast, "%d ms ago", now-r.Deadline)
	case largest > 0 && a.route.Pieces > largest:
		return codes.New(codes.TooLong, "%d pieces of memory, the largest has %d", a.route.Pieces, largest)
	}
	return nil
}

func (d *Placer) ticket(a *ask) limit.Ticket {
	r := a.query.Try.Request
	return limit.Ticket{
		Workspace: r.Workspace, Weight: r.Weight, Cost: a.route.Tokens,
		Target: a.target, Latest: a.latest, Need: d.need(a),
		Urgent: a.query.Try.Attempt > 1 || a.route.Export,
		Try: func() (bool, error) {
			err := d.at(a)
			if codes.Has(err, codes.NoMemory) {
				return false, nil
			}
			return err == nil, err
		},
	}
}

// need is the time to the first token at the best pair there is, were it
// idle.
func (d *Placer) need(a *ask) clock.Millis {
	b := d.look(a)
	defer buffers.Put(b)
	for i := range b.prefills {
		b.prefills[i].Queue = 0
		b.prefills[i].Moving = 0
	}
	for i := range b.decodes {
		b.decodes[i].Free = a.route.Pieces
		b.decodes[i].Moving = 0
	}
	q := a.route
	q.MaxQueue = 0
	c, _ := d.Chooser.Choose(q, b.prefills, b.decodes)
	return c.Wait
}

// line returns the line of requests for a model.
func (d *Placer) line(model string) *limit.Line {
	return d.lines.Ensure(model, func() *limit.Line {
		return &limit.Line{Clock: d.Clock, Unfair: d.Unfair, Hopeful: d.Hopeful}
	})
}

// Wake serves the requests for which there is room now. It is called when
// capacity may have become free that this placer didn't release itself.
func (d *Placer) Wake() {
	for _, l := range d.lines.Values() {
		l.Wake()
	}
}

// Waiting returns the number of requests that wait for their turn.
func (d *Placer) Waiting() int {
	n := 0
	d.lines.Each(func(_ string, l *limit.Line) bool {
		n += l.Len()
		return true
	})
	return n
}

// buffer holds the candidates of one choice.
type buffer struct {
	prefills, decodes []route.Candidate
}

var buffers = sync.Pool{New: func() any { return &buffer{} }}

// look fills a buffer with the candidates for a query.
func (d *Placer) look(a *ask) *buffer {
	b := buffers.Get().(*buffer)
	model, failed := a.query.Try.Request.Model, a.query.Failed
	b.prefills = b.prefills[:0]
	if !a.route.Export {
		b.prefills = without(d.Upstreams.Candidates(core.Prefill, model, a.blocks, b.prefills), failed)
	}
	if d.Turns != nil {
		for i := range b.prefills {
			c := &b.prefills[i]
			c.Free = d.Turns.Free(c.Name, 1)
			c.Queue /= staleQueue
		}
	}
	b.decodes = without(d.Upstreams.Candidates(core.Decode, model, nil, b.decodes[:0]), failed)
	if d.Memory != nil {
		for i := range b.decodes {
			c := &b.decodes[i]
			c.Free = d.Memory.Free(c.Name, c.Free)
		}
	}
	return b
}

// without leaves out the upstreams that failed this request. If all have
// failed, it leaves out the one that failed last, unless it is the only one.
func without(all []route.Candidate, failed []string) []route.Candidate {
	if len(failed) == 0 || len(all) < 2 {
		return all
	}
	left := func(c route.Candidate) bool { return !slices.Contains(failed, c.Name) }
	if slices.ContainsFunc(all, left) {
		return slices.DeleteFunc(all, func(c route.Candidate) bool { return !left(c) })
	}
	last := lastOf(all, failed)
	return slices.DeleteFunc(all, func(c route.Candidate) bool { return c.Name == last })
}

// lastOf returns the last of the failed that is among the candidates.
func lastOf(all []route.Candidate, failed []string) string {
	for _, name := range slices.Backward(failed) {
		if slices.ContainsFunc(all, func(c route.Candidate) bool { return c.Name == name }) {
			return name
		}
	}
	return ""
}

// at chooses the pair and takes what it needs there. Its error is NoMemory
// where that may change by waiting.
func (d *Placer) at(a *ask) error {
	b := d.look(a)
	defer buffers.Put(b)
	model := a.query.Try.Request.Model
	if len(b.decodes) == 0 || len(b.prefills) == 0 && !a.route.Export {
		return codes.New(codes.NoUpstream, "model %q", model)
	}
	a.route.Draw = rand.Uint64()
	a.route.MaxQueue = d.maxQueue()
	if !b.fits(a.route.Pieces) && d.Memory != nil {
		d.Memory.Short(b.decodes, a.route.Pieces)
		return codes.New(codes.NoMemory, "model %q: %d pieces", model, a.route.Pieces)
	}
	free := b.prefills
	if d.Turns != nil && !a.route.Export {
		free = b.withTurns()
		if len(free) == 0 {
			d.Turns.Short(b.prefills, 1)
			return codes.New(codes.NoMemory, "model %q: no prefill is free", model)
		}
	}
	c, ok := d.Chooser.Choose(a.route, free, b.decodes)
	if !ok {
		return codes.New(codes.NoMemory, "model %q: %d pieces", model, a.route.Pieces)
	}
	if err := d.worthwhile(a, c); err != nil {
		return err
	}
	return d.take(a, c, b)
}

// withTurns puts the prefills that have a turn first and returns them.
func (b *buffer) withTurns() []route.Candidate {
	n := 0
	for i := range b.prefills {
		if b.prefills[i].Free > 0 {
			b.prefills[n], b.prefills[i] = b.prefills[i], b.prefills[n]
			n++
		}
	}
	return b.prefills[:n]
}

// fits reports whether any decode memory has room.
func (b *buffer) fits(pieces int) bool {
	return slices.ContainsFunc(b.decodes, func(c route.Candidate) bool { return c.Free >= pieces })
}

// staleQueue divides the queues that reports show where turns are counted: the
// turns keep the queues short, and what a late report shows is mostly gone. The
// rest bounds them while no home answers.
const staleQueue = 10

// maxQueue bounds the wait before the prefill of a choice; zero is no bound.
func (d *Placer) maxQueue() clock.Millis {
	switch {
	case d.Early:
		return 0
	case d.Ahead == 0:
		return defaultAhead
	}
	return d.Ahead
}

// worthwhile refuses a request whose predicted first token is later than its
// profile allows, before anything runs.
func (d *Placer) worthwhile(a *ask, c route.Choice) error {
	late := d.Clock.Now() + c.Wait - a.latest
	if d.Hopeful || late <= 0 || a.query.Try.Attempt > 1 || a.route.Export {
		return nil
	}
	return codes.New(codes.DeadlineUnmet, "first token predicted %d ms too late", late).WithRetry(max(late, minRetry))
}

// minRetry is the least time after which a refused caller is told to try
// again.
const minRetry clock.Millis = 50
