package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/extsim"
)

// Behaviour of callers.
const (
	callersPerEntry = 8
	maxCallers      = 80
	// dialTimeout is how long a caller waits for a connection.
	dialTimeout = 1 * clock.Second
	// dialPause is the time until a caller tries another entry.
	dialPause clock.Millis = 30
	// maxThink is the longest time between two requests of a caller.
	maxThink clock.Millis = 300
	// maxReuse is the largest number of requests on a connection.
	maxReuse = 40
	// late is how long after its deadline a request may be unanswered.
	late clock.Millis = 500
	// Of oneIn requests one caller leaves before the answer, one closes its sending side,
	// and one sends a part of the next request too early.
	oneIn = 25
	// One connection in slowIn is read slowly.
	slowIn = 3
	// maxStay is the longest time after which a leaving caller leaves.
	maxStay clock.Millis = 400
)

// caller sends one request after the other.
type caller struct {
	g *rig
	n int
	r *rand.Rand
	// sent is the number of requests sent so far.
	sent int
	seed uint64
}

// run sends requests until ctx ends. A request that was sent is waited for.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		e := c.g.entries[c.r.IntN(len(c.g.entries))]
		conn, boot, slow := c.dial(ctx, e)
		if conn == nil {
			// The entry is down, or has stopped to listen: the caller takes another one.
			_ = sleep(ctx, dialPause)
			continue
		}
		c.use(ctx, e, boot, conn, slow)
		conn.Close()
	}
}

// dial connects to an entry. It returns nil if that fails, or if it isn't certain to which
// process the connection belongs. slow tells that it is to be read slowly.
func (c *caller) dial(ctx context.Context, e *entry) (conn *extsim.Caller, boot int, slow bool) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout.Duration())
	defer cancel()
	buffer := 0
	if slow = c.r.IntN(slowIn) == 0; slow {
		buffer = slowBuffer
	}
	boot = e.currentBoot()
	conn, err := extsim.DialBuffer(ctx, e.settings.Callers.Listen, buffer)
	if err != nil {
		return nil, 0, false
	}
	if boot != e.currentBoot() {
		conn.Close()
		return nil, 0, false
	}
	return conn, boot, slow
}

// ask sends a request and records its answer. It returns false if the connection can't be
// used for another one.
func (c *caller) ask(ctx context.Context, conn *extsim.Caller, q *Request, call extsim.Call, slow bool) bool {
	if q.Slow = slow; slow {
		call.ReadPause = time.Duration(c.r.Int64N(int64(maxReadPause)))
	}
	a := conn.Ask(context.WithoutCancel(ctx), call)
	if a.Impatient {
		// The caller has left only now.
		conn.Close()
		a.Ended = time.Now()
	}
	c.g.answered(q, a)
	return a.Complete && !a.Closes && !call.HalfClose && !call.Ahead
}

// use sends requests on a connection while it can be used, whatever the entry says of
// its readiness.
func (c *caller) use(ctx context.Context, e *entry, boot int, conn *extsim.Caller, slow bool) {
	for nth := range 1 + c.r.IntN(maxReuse) {
		q, call := c.next(e.n, boot, nth, c.g.moodAt(c.g.now()))
		if !c.ask(ctx, conn, &q, call, slow) {
			return
		}
		select {
		case <-time.After(clock.Millis(c.r.Int64N(int64(maxThink))).Duration()):
		case <-c.g.nextBurst():
		case <-ctx.Done():
			return
		}
	}
}

// next returns the next request to an entry. Its answer is one that m may ask for.
func (c *caller) next(entry, boot, nth int, m mood) (Request, extsim.Call) {
	c.sent++
	s := shapes[c.r.IntN(len(shapes))]
	id := fmt.Sprintf("%04x%04x%08x", c.seed&0xffff, c.n, c.sent)
	q := Request{ID: id, Shape: s.Name, Entry: entry, Boot: boot, Nth: nth}
	prefix := s.Prefix
	if s.Probe {
		versions := c.g.recentVersions()
		q.Version = versions[c.r.IntN(len(versions))].Number
		prefix = probePrefix(q.Version)
	}
	q.Target = prefix + id
	body := strings.Repeat(id, 1+c.r.IntN(60))
	q.Digest = extsim.BodyDigest(body)
	pace, time := m.draw(c.r, s)
	q.Pace, q.Deadline = pace, s.Deadline
	if !s.Stream && time == 0 {
		q.Deadline = shortDeadline
	}
	c.g.paces.Store(id, work{pace, time})
	call := extsim.Call{
		ID: id, Host: host, Path: q.Target, Body: body, Deadline: q.Deadline.Duration(), Generates: s.Stream,
		Patience: (q.Deadline + late).Duration(), Tokens: c.g.tokens(c.r, pace),
	}
	switch c.r.IntN(oneIn) {
	case 0:
		q.Left = true
		call.Patience = clock.Millis(1 + c.r.Int64N(int64(maxStay))).Duration()
	case 1:
		q.HalfClose, call.HalfClose = true, true
	case 2:
		q.Ahead, call.Ahead = true, true
	}
	return q, call
}

// answered records a request and what is wrong with its answer.
func (g *rig) answered(q *Request, a extsim.Answer) {
	q.Whole = !a.Sent.IsZero()
	q.Sent, q.Ended = g.since(a.Ended), g.since(a.Ended)
	if q.Whole {
		q.Sent = g.since(a.Sent)
	}
	q.Received, q.Status, q.Complete, q.Impatient = a.Received, a.Status, a.Complete, a.Impatient
	// A caller that wanted to leave may have got its answer first.
	q.Left = q.Left && a.Impatient
	if a.Err != nil {
		q.Err = a.Err.Error()
	}
	q.Fault = checkAnswer(q, a)
	if q.Fault != "" {
		g.o.Log("request %s at %d ms: %s", q.ID, q.Sent, q.Fault)
	}
	g.request(*q)
}

// checkAnswer returns what is wrong with an answer itself, empty if nothing is.
func checkAnswer(q *Request, a extsim.Answer) string {
	s := shapeOf(q.Shape)
	want := wantBody(q)
	ok := a.Status >= 200 && a.Status < 300
	switch {
	case a.Stray:
		return "MIXED: bytes that belong to no request"
	case a.Status == 0:
		return ""
	case a.ID != q.ID:
		return fmt.Sprintf("MIXED: the answer has the ID %q", a.ID)
	case a.Signature != "" && a.Signature != extsim.Signature(q.ID):
		return fmt.Sprintf("MIXED: the answer has the signature %q", a.Signature)
	case ok && a.Signature == "":
		return "MIXED: a success without a signature"
	case a.Signature != "" && !ok && a.Status != 500:
		return fmt.Sprintf("MIXED: a signature with the status %d", a.Status)
	case ok && a.Complete && a.Body != want && s.Stream:
		return fmt.Sprintf("ORDER: a stream ends as complete after %d of %d bytes, or differs", len(a.Body), len(want))
	case ok && a.Complete && a.Body != want:
		return fmt.Sprintf("MIXED: the body has %d bytes and differs from the replica's %d", len(a.Body), len(want))
	case ok && !strings.HasPrefix(want, a.Body):
		return "ORDER: the part of the answer that arrived isn't its beginning"
	case a.Status >= 300 && a.Status < 500 && a.Status != 408 && a.Status != 421 && a.Status != 429 && (a.Status != 404 || !s.Probe):
		return fmt.Sprintf("DENIED: status %d", a.Status)
	}
	return ""
}
