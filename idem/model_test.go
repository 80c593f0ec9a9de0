package idem_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/idem"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/pltsim"
	"lacewinghook.example/lacewinghook/record"
)

// model simulates two entries, one caller, two orders, the table and the
// service. Every call of an interface waits until the schedule resumes it, so
// that a run depends only on the bytes of the schedule.
type model struct {
	table   pltsim.Table
	mu      sync.Mutex
	nodes   [2]*node
	waiting []*event
	// late holds calls whose sender has timed out but that may still take
	// effect.
	late     []*event
	requests []*request
	runs     map[core.ID]int
	// stored maps each row to the answer stored in it.
	stored    map[string]string
	seq       uint64
	violation string
}

// node is one entry with its own clock, which stops while the entry is frozen.
// behind is how far that clock is behind the others.
type node struct {
	index    int
	executor *idem.Executor
	manual   *clock.Manual
	behind   clock.Millis
	frozen   bool
	dead     bool
	draws    atomic.Uint64
}

// drawStep is a multiple of every backoff, so that backoffs have no jitter and
// do not depend on the order in which threads draw.
const drawStep = 32000

// event is one call of an interface that waits for the schedule.
type event struct {
	node *node
	kind string
	// effect performs the call, once, and prepares its result.
	effect func()
	// done is set once effect has run.
	done  bool
	reply chan error
}

// request is one call sent by the caller.
type request struct {
	id     core.ID
	key    string
	answer core.Answer
	err    error
	ended  bool
}

// keys are the idempotency keys of the two orders.
var keys = [2]string{"k", "l"}

// The ways in which the schedule resumes an event.
const (
	succeeds = iota
	// effectOnly performs the call and leaves it waiting for its result.
	effectOnly
	// answerLost performs the call and loses the result.
	answerLost
	// dropped loses the call.
	dropped
	// lateEffect times out the call, which may still take effect later.
	lateEffect
	// rejected rejects the call as not run.
	rejected
	// ways is the number of the ways above.
	ways
)

// errLost is the error of a call whose effect is unknown to the sender.
var errLost = codes.New(codes.PlatformDown, "lost").WithRun(codes.Unknown)

// port implements a node's table and sender; the schedule decides when and how
// each call returns.
type port struct {
	m *model
	n *node
}

// wait blocks until the schedule resumes the call or ctx ends.
func (p port) wait(ctx context.Context, kind string, effect func()) error {
	if p.n.dead {
		return codes.New(codes.PlatformDown, "dead")
	}
	ev := &event{node: p.n, kind: kind, effect: effect, reply: make(chan error, 1)}
	p.m.mu.Lock()
	p.m.waiting = append(p.m.waiting, ev)
	p.m.mu.Unlock()
	select {
	case err := <-ev.reply:
		return err
	case <-ctx.Done():
		p.m.drop(ev, true)
		return errLost
	}
}

// Read waits for the schedule and then reads the table.
func (p port) Read(ctx context.Context, keys ...string) (rows []core.Row, err error) {
	err = p.wait(ctx, "read", func() { rows = p.m.table.Read(keys) })
	return rows, err
}

// List always fails: the model makes no listings.
func (p port) List(context.Context, string, string, int) ([]core.Row, error) { return nil, errLost }

// Commit waits for the schedule and then commits the writes.
func (p port) Commit(ctx context.Context, writes ...core.Write) (done core.CommitResult, err error) {
	err = p.wait(ctx, "commit", func() { done, _ = p.m.table.Commit(writes) })
	return done, err
}

// Send checks the deadline when the call takes effect, as the real client does
// right before it sends the first byte.
func (p port) Send(ctx context.Context, call core.Call) (a core.Answer, err error) {
	var late error
	err = p.wait(ctx, "send", func() {
		if p.n.manual.Now() >= call.Deadline {
			late = codes.New(codes.DeadlinePast, "call")
			return
		}
		p.m.runs[call.ID]++
		a = core.Answer{Status: http.StatusOK, Body: []byte(call.ID.String())}
	})
	if late != nil {
		err = late
	}
	return a, err
}

// newModel returns a model with two running entries.
func newModel() *model {
	m := &model{runs: make(map[core.ID]int), stored: make(map[string]string)}
	for i := range m.nodes {
		m.start(i)
	}
	return m
}

// start starts entry i, as new or after a kill.
func (m *model) start(i int) {
	n := &node{index: i, manual: &clock.Manual{}}
	n.manual.Advance(clock.Minute)
	p := port{m, n}
	n.executor = &idem.Executor{
		Table: p, Sender: p, Clock: clock.Clock{Manual: n.manual}, Meter: &meter.Registry{},
		Draw: func() uint64 { return n.draws.Add(drawStep) },
	}
	m.seq++
	n.draws.Store(m.seq << 40)
	m.nodes[i] = n
}

// send sends a call to the node, up to 12 in one schedule.
func (m *model) send(n *node, arg byte) {
	if len(m.requests) == 12 {
		return
	}
	m.seq++
	r := &request{id: core.ID{Seq: m.seq}, key: keys[arg>>3&1]}
	m.requests = append(m.requests, r)
	call := order(r.key, "card")
	call.ID, call.Deadline = r.id, n.manual.Now()+2*clock.Second
	go func() {
		r.answer, r.err = n.executor.Do(context.Background(), call)
		r.ended = true
	}()
}

// settleOrSend settles an order as an operator or, depending on arg, sends a
// call.
func (m *model) settleOrSend(n *node, arg byte) {
	rows := m.table.List(record.Prefix, "", 1)
	if arg&2 == 0 || len(rows) == 0 {
		m.send(n, arg)
		return
	}
	outcome := record.SettledRan
	if arg&4 != 0 {
		outcome = record.SettledNotRun
	}
	ctx, cancel := context.WithCancel(context.Background())
	clock.Clock{Manual: n.manual}.AfterFunc(4*clock.Second, cancel)
	go func() { _, _ = n.executor.Settle(ctx, rows[0].Key[len(record.Prefix):], outcome, "ann") }()
}

// drop removes an event. If mayTakeEffect is set, its call may still take effect
// later.
func (m *model) drop(ev *event, mayTakeEffect bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, other := range m.waiting {
		if other == ev {
			m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
		}
	}
	if mayTakeEffect && !ev.done {
		m.late = append(m.late, ev)
	}
}

// resume resumes one event in the given way.
func (m *model) resume(ev *event, way int) {
	if ev.node.frozen && way != effectOnly {
		return
	}
	err := error(nil)
	switch way {
	case succeeds, effectOnly, answerLost:
		if !ev.done {
			ev.effect()
			ev.done = true
		}
		if way == effectOnly {
			return
		}
		if way == answerLost {
			err = errLost
		}
	case dropped, lateEffect:
		err = errLost
	case rejected:
		if ev.done {
			return
		}
		err = codes.New(codes.PlatformDown, "refused")
	}
	m.drop(ev, way == lateEffect)
	ev.reply <- err
}

// kill restarts an entry without its state. If mayTakeEffect is set, its pending
// calls may still take effect.
func (m *model) kill(n *node, mayTakeEffect bool) {
	n.dead = true
	for _, ev := range append([]*event(nil), m.waiting...) {
		if ev.node == n {
			m.drop(ev, mayTakeEffect)
			ev.reply <- errLost
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.executor.Close(ctx)
	m.start(n.index)
}

// advance moves the clocks of all entries. A frozen entry catches up when it
// thaws.
func (m *model) advance(d clock.Millis) {
	for _, n := range m.nodes {
		n.behind += d
		if !n.frozen {
			n.manual.Advance(n.behind)
			n.behind = 0
		}
	}
}

// step performs one step of the schedule: action selects the event, and arg its
// entry, order or duration.
func (m *model) step(action, arg byte) {
	n := m.nodes[arg&1]
	sortEvents(m.waiting)
	sortEvents(m.late)
	switch action % 16 {
	case 0:
		m.send(n, arg)
	case 1:
		m.settleOrSend(n, arg)
	case 2:
		m.advance(50 << (arg >> 4 & 3))
	case 3:
		m.advance(clock.Second << (arg >> 4 & 3))
	case 4:
		n.frozen = !n.frozen
	case 5:
		m.kill(n, arg&2 != 0)
	case 6:
		if len(m.late) > 0 {
			i := int(arg) % len(m.late)
			m.late[i].effect()
			m.late = append(m.late[:i], m.late[i+1:]...)
		}
	default:
		if len(m.waiting) > 0 {
			way := max(0, int(action%16)-10)
			m.resume(m.waiting[int(arg)%len(m.waiting)], way%ways)
		}
	}
	synctest.Wait()
	m.check()
}

// sortEvents makes the schedule independent of the order in which threads
// arrived.
func sortEvents(events []*event) {
	sort.SliceStable(events, func(i, j int) bool {
		a, b := events[i], events[j]
		return a.node.index < b.node.index || a.node.index == b.node.index && a.kind < b.kind
	})
}

// check verifies the invariants: an order runs at most once, a call rejected as
// not run did not run, and an answered order has run.
func (m *model) check() {
	total := make(map[string]int)
	for _, r := range m.requests {
		total[r.key] += m.runs[r.id]
	}
	for key, n := range total {
		if n > 1 {
			m.fail("the order %s ran %d times", key, n)
		}
	}
	for _, r := range m.requests {
		if r.ended && r.err != nil && codes.From(r.err).Run == codes.NotRun && m.runs[r.id] > 0 {
			m.fail("request %d was rejected as not run and ran: %v", r.id.Seq, r.err)
		}
		if r.ended && r.err == nil && total[r.key] == 0 {
			m.fail("request %d was answered and nothing ran", r.id.Seq)
		}
	}
	m.checkRow()
}

// checkRow verifies that a stored answer is never replaced and that no
// violation was counted.
func (m *model) checkRow() {
	for _, row := range m.table.List(record.Prefix, "", 0) {
		var r record.Record
		if err := json.Unmarshal(row.Value, &r); err != nil {
			m.fail("row: %v", err)
		}
		now := ""
		if r.State == record.Done {
			now = string(r.Answer.Body)
		}
		if old := m.stored[row.Key]; old != "" && now != old {
			m.fail("the stored answer %q was replaced by %q", old, now)
		}
		m.stored[row.Key] = now
	}
	for _, n := range m.nodes {
		if v := n.executor.Meter.Violations(meter.AtMostOnce); v.Count > 0 {
			m.fail("violation counted: %s", v.LastNote)
		}
	}
}

// fail records the first violated invariant.
func (m *model) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// finish thaws all entries, lets every event succeed, and checks that every
// call and every order ends.
func (m *model) finish() {
	for _, n := range m.nodes {
		n.frozen = false
	}
	for range 400 {
		m.advance(100)
		synctest.Wait()
		for _, ev := range append([]*event(nil), m.waiting...) {
			m.resume(ev, succeeds)
			synctest.Wait()
		}
		m.check()
	}
	for _, r := range m.requests {
		if !r.ended {
			m.fail("request %d never ended", r.id.Seq)
		}
	}
	for _, n := range m.nodes {
		if n.executor.Pending() > 0 {
			m.fail("entry %d has orders that never end", n.index)
		}
		m.kill(n, false)
	}
}

// play runs a schedule and returns the first violated invariant, or an empty
// string.
func play(t *testing.T, schedule []byte) (bad string) {
	synctest.Test(t, func(*testing.T) {
		m := newModel()
		for i := 0; i+1 < len(schedule); i += 2 {
			m.step(schedule[i], schedule[i+1])
		}
		m.finish()
		bad = m.violation
	})
	return bad
}

// TestModel plays random schedules of calls, faults and crashes, and checks the
// invariants after each step.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		schedule := rapid.SliceOfN(rapid.Byte(), 0, 120).Draw(rt, "schedule")
		if bad := play(t, schedule); bad != "" {
			rt.Fatal(bad)
		}
	})
}

// regressions are schedules that failed before, on this code or on a version
// with a weaker check.
var regressions = []struct {
	name     string
	schedule []byte
}{
	{"an open row is taken over", []byte{0x0, 0x0, 0x0, 0x1}},
	{"an unanswered insert is assumed to hold the record", []byte{0x0, 0x0, 0x0, 0x0, 0x0, 0x0, 0xd, 0x0, 0x0, 0x1}},
	{"an unanswered call is rejected as not run", []byte{0x0, 0x0, 0x0, 0x0, 0x7, 0x0, 0xc, 0x0}},
	{"an unanswered call is abandoned to other callers", []byte{0x0, 0x1, 0x2, 0x0, 0x0, 0x1, 0x7, 0x0, 0xc, 0x0, 0x0, 0x0}},
	{"a withdrawal writes over another attempt", []byte{0x0, 0x0, 0xd, 0x0, 0x3, 0x10, 0x2, 0x0, 0x0, 0x1, 0x0, 0x1, 0x7, 0x0}},
}

// TestModelRegressions plays the schedules that failed before.
func TestModelRegressions(t *testing.T) {
	for _, f := range regressions {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(play(t, f.schedule), "")
		})
	}
}
