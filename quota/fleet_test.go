package quota_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/quota"
	"lacewinghook.example/lacewinghook/wire"
)

// policy is that of the platform.
var policy = quota.Policy{Span: 8 * clock.Second, Overshoot: 0.1, Slack: 140_000}

// node is an entry of a fleet.
type node struct {
	client *quota.Client
	in     core.Instance
	// down refuses connections, hung answers nothing, and side is the part of a cut network.
	down, hung bool
	side       int
	// list is what the entry knows, and next what it learns at the instant learns.
	list, next []core.Instance
	learns     clock.Millis
}

// use is a request that ran.
type use struct {
	at   clock.Millis
	cost float64
}

// held is a request that will turn out not to run.
type held struct {
	at    clock.Millis
	node  *node
	taken quota.Taken
}

// fleet is entries and a network without connections. Messages take no time.
type fleet struct {
	t     *testing.T
	clock *clock.Manual
	rand  *rand.Rand
	nodes map[string]*node
	names []string
	// byPeer holds the names of the entries by address.
	byPeer map[string]string
	// workspaces are the names of the workspaces.
	workspaces []string
	limits     map[string]core.Limit
	loss       float64
	// mu guards rand and the counts of messages during calls.
	mu   sync.Mutex
	runs map[string][]use
	held []held
	// refused counts refusals and asked requests, by workspace.
	refused, asked map[string]int
	// served counts the messages that each entry has received.
	served             map[string]int
	messages           int
	sampled, sampleLen int
}

// entries is the number of entries of a fleet.
const entries = 330

// planScale multiplies the limits so that 85% of them are the 7,500 requests a second of the
// plan, for which it bounds the control traffic of an entry.
const planScale = 9.2

// newFleet returns a fleet whose entries have run for a while. scale multiplies the limits.
func newFleet(t *testing.T, seed uint64, scale float64) *fleet {
	f := &fleet{
		t: t, clock: &clock.Manual{}, rand: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*node), byPeer: make(map[string]string), limits: make(map[string]core.Limit),
		runs: make(map[string][]use), refused: make(map[string]int), asked: make(map[string]int),
		served: make(map[string]int),
	}
	for i := range 16 {
		rate := 36_000 * scale
		if i < 4 {
			rate = 75_000 * float64(i+1) * scale
		}
		f.limits[fmt.Sprintf("ws-%d", i)] = core.Limit{Rate: rate, Burst: rate, Tokens: true, Default: 200}
	}
	f.workspaces = slices.Sorted(maps.Keys(f.limits))
	var list []core.Instance
	for i := range entries {
		list = append(list, core.Instance{Name: fmt.Sprintf("edge-%d", i), Peer: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)})
	}
	for _, in := range list {
		f.add(in, list)
	}
	f.advance(10 * clock.Second)
	return f
}

// add adds an entry, or starts it again.
func (f *fleet) add(in core.Instance, list []core.Instance) *node {
	n := &node{in: in, list: list}
	if old, ok := f.nodes[in.Name]; ok {
		n.side = old.side
	} else {
		f.names = append(f.names, in.Name)
		f.byPeer[in.Peer] = in.Name
	}
	n.client = &quota.Client{
		Self: in, Peers: link{f, n}, Entries: func() []core.Instance { return n.list }, Policy: policy, Workspaces: func() []string { return f.workspaces }, Clock: clock.Clock{Manual: f.clock},
		Table: quota.Table{Limits: func(ws string) (core.Limit, bool) { l, ok := f.limits[ws]; return l, ok }, Policy: policy},
	}
	n.client.Maintain(context.Background())
	f.nodes[in.Name] = n
	return n
}

// publish tells all entries a list, each within spread.
func (f *fleet) publish(list []core.Instance, spread clock.Millis) {
	for _, n := range f.nodes {
		n.next, n.learns = list, f.clock.Now()+clock.Millis(f.rand.Int64N(int64(spread)+1))
	}
}

// link is the network as seen from one entry. It implements [quota.Peers].
type link struct {
	fleet *fleet
	from  *node
}

// Bytes of a message beside its content: the JSON-RPC fields.
const (
	askFrame    = 58
	answerFrame = 37
	// sampleOf is how many messages one of whose length is measured stands for.
	sampleOf = 16
)

// AskQuota implements [quota.Peers].
func (l link) AskQuota(ctx context.Context, addr string, a quota.Ask) (quota.Answer, error) {
	f := l.fleet
	f.mu.Lock()
	f.messages++
	sampled := f.messages%sampleOf == 0
	lost, replyLost := f.rand.Float64() < f.loss, f.rand.Float64() < f.loss
	f.mu.Unlock()
	to := f.nodes[f.byPeer[addr]]
	switch {
	case to == nil || to.down:
		return quota.Answer{}, codes.Wrap(codes.CutOff, syscall.ECONNREFUSED, "peer %s", addr)
	case to.hung || to.side != l.from.side || lost:
		return quota.Answer{}, errors.New("no answer")
	}
	answer := to.client.Serve(ctx, a)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.served[to.in.Name]++
	if sampled {
		ask, err := json.Marshal(wire.QuotaAsk(a))
		if err != nil {
			f.t.Error(err)
		}
		reply, err := json.Marshal(wire.QuotaAnswer(answer))
		if err != nil {
			f.t.Error(err)
		}
		f.sampled++
		f.sampleLen += len(ask) + len(reply) + askFrame + answerFrame
	}
	if replyLost {
		return quota.Answer{}, errors.New("the answer was lost")
	}
	return answer, nil
}

// advance moves the time forward without requests.
func (f *fleet) advance(d clock.Millis) {
	for range d / step {
		f.tick()
	}
}

// step is the resolution of a fleet's time, and returnEvery the number of steps between two
// returns of unused tokens.
const (
	step        clock.Millis = 10
	returnEvery int          = 25
)

// tick advances the time by a step.
func (f *fleet) tick() {
	f.clock.Advance(step)
	now := f.clock.Now()
	turn := int(now/step) % returnEvery
	for i, name := range f.names {
		n := f.nodes[name]
		if n.next != nil && now >= n.learns {
			n.list, n.next = n.next, nil
		}
		if i%returnEvery == turn && !n.down && !n.hung {
			n.client.Maintain(context.Background())
		}
	}
	kept := f.held[:0]
	for _, h := range f.held {
		if now < h.at {
			kept = append(kept, h)
			continue
		}
		if f.nodes[h.node.in.Name] == h.node && !h.node.down {
			h.node.client.Return(h.taken)
		}
	}
	f.held = kept
}

// maxHold is the longest time after which a request turns out not to run, and notRun the
// share of those that don't.
const (
	maxHold = 3 * clock.Second
	notRun  = 0.05
)

// request sends one request of a workspace to an entry.
func (f *fleet) request(n *node, ws string, cost float64) {
	if n.down || n.hung {
		return
	}
	f.asked[ws]++
	r := &core.Request{Workspace: ws, Limit: f.limits[ws], Cost: cost}
	taken, err := n.client.Take(context.Background(), r)
	switch {
	case err != nil:
		if !codes.Has(err, codes.RateLimited) || codes.From(err).Run != codes.NotRun || codes.From(err).RetryAfter <= 0 {
			f.t.Errorf("refused with %v", err)
		}
		f.refused[ws]++
	case f.rand.Float64() < notRun:
		f.held = append(f.held, held{f.clock.Now() + clock.Millis(f.rand.Int64N(int64(maxHold))), n, taken})
	default:
		f.runs[ws] = append(f.runs[ws], use{f.clock.Now(), cost})
	}
}

// load sends requests for d, at the given multiple of each workspace's rate. pick chooses
// the entry. before is called at each step.
func (f *fleet) load(d clock.Millis, multiple float64, pick func(ws string) *node, before func(at clock.Millis)) {
	begun := f.clock.Now()
	due := make(map[string]float64)
	for at := clock.Millis(0); at < d; at = f.clock.Now() - begun {
		before(at)
		f.tick()
		for _, ws := range f.workspaces {
			due[ws] += f.limits[ws].Rate * multiple * float64(step) / 1000
			for due[ws] > 0 {
				cost := 200.0
				if f.rand.IntN(3) == 0 {
					cost = 3300
				}
				due[ws] -= cost
				f.request(pick(ws), ws, cost)
			}
		}
	}
}

// anyNode returns a random entry.
func (f *fleet) anyNode(string) *node { return f.nodes[f.names[f.rand.IntN(len(f.names))]] }

// checkBound checks that no window of a workspace runs more than the limit allows, and logs
// the one that is closest to it.
func (f *fleet) checkBound() {
	f.t.Helper()
	worst, worstOf := 0.0, ""
	for ws, runs := range f.runs {
		l := f.limits[ws]
		bound := (l.Rate*8+l.Burst)*1.1 + 140_000
		sum, from := 0.0, 0
		for _, u := range runs {
			sum += u.cost
			for runs[from].at <= u.at-8*clock.Second {
				sum -= runs[from].cost
				from++
			}
			if sum/bound > worst {
				worst, worstOf = sum/bound, ws
			}
			if sum > bound {
				f.t.Fatalf("%s: %.0f in 8 s up to %d, bound %.0f", ws, sum, u.at, bound)
			}
		}
	}
	f.t.Logf("fullest window: %.3f of the bound (%s)", worst, worstOf)
}

// used returns what a workspace has run.
func (f *fleet) used(ws string) float64 {
	sum := 0.0
	for _, u := range f.runs[ws] {
		sum += u.cost
	}
	return sum
}

// report logs the messages of a run of d, and what was refused.
func (f *fleet) report(d clock.Millis) {
	asked, refused := 0, 0
	for ws := range f.limits {
		asked += f.asked[ws]
		refused += f.refused[ws]
	}
	seconds := float64(d) / 1000
	size := float64(f.sampleLen) / float64(max(1, f.sampled))
	perEntry := float64(f.messages) / seconds / float64(len(f.names))
	busiest := 0
	for _, n := range f.served {
		busiest = max(busiest, n)
	}
	f.t.Logf("the busiest owner gets %.0f asks/s, %.0f bytes/s", float64(busiest)/seconds, float64(busiest)/seconds*size)
	f.t.Logf("%.0f requests/s, %.1f%% refused; each entry asks %.2f times/s, %.0f bytes with the answer, %.0f bytes/s sent and received",
		float64(asked)/seconds, 100*float64(refused)/float64(max(1, asked)), perEntry, size, perEntry*size)
}

// owner returns the owner of a workspace.
func (f *fleet) owner(ws string) *node {
	return f.nodes[f.nodes[f.names[0]].client.Ranked(ws)[0]]
}

// nothing is a load without events.
func nothing(clock.Millis) {}

// TestBelowTheLimit guards against requests that are refused although the workspace uses
// less than its limit, and against control traffic over the bound of the plan.
func TestBelowTheLimit(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, planScale)
	const d = 12 * clock.Second
	f.load(d, 0.85, f.anyNode, nothing)
	f.report(d)
	f.checkBound()
	for ws := range f.limits {
		is.Equal(f.refused[ws], 0)
	}
	is.True(float64(f.messages)/12/entries*float64(f.sampleLen)/float64(f.sampled) < 9000)
}

// TestAboveTheLimit guards against leases that strand tokens: workspaces that ask for more
// than their limit get all of what is tolerated, and no more.
func TestAboveTheLimit(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 1)
	const d = 16 * clock.Second
	f.load(d, 1.5, f.anyNode, nothing)
	f.report(d)
	f.checkBound()
	for ws, l := range f.limits {
		share := f.used(ws) / (policy.Tolerated(l).Rate*16 + l.Burst)
		if share < 0.97 {
			t.Errorf("%s: ran %.3f of its limit", ws, share)
		}
		is.True(share < 1.03)
	}
}

// TestOneEntryGetsAll guards against limits that are divided among entries of which one has
// all the traffic.
func TestOneEntryGetsAll(t *testing.T) {
	f := newFleet(t, 3, 1)
	const d = 12 * clock.Second
	f.load(d, 0.95, func(string) *node { return f.nodes["edge-7"] }, nothing)
	f.report(d)
	f.checkBound()
	for ws := range f.limits {
		is.New(t).Equal(f.refused[ws], 0)
	}
}

// TestBoundHolds checks the bound while machines and links fail, with traffic above the
// limits.
func TestBoundHolds(t *testing.T) {
	for name, tc := range map[string]struct {
		loss     float64
		multiple float64
		// least is the share of the limits that must be run.
		least float64
		// skewed sends the traffic of each workspace to three entries.
		skewed bool
		before func(f *fleet) func(at clock.Millis)
	}{
		"messages are lost":           {loss: 0.05, multiple: 1.5, least: 0.6},
		"messages are lost, skewed":   {loss: 0.05, multiple: 1.5, least: 0.6, skewed: true},
		"the network is cut":          {multiple: 1.5, least: 0.4, before: cutNetwork},
		"the network is cut, skewed":  {multiple: 3, least: 0.2, skewed: true, before: cutNetwork},
		"entries join and leave":      {multiple: 1.5, least: 0.85, before: joinAndLeave},
		"entries join, lossy, skewed": {loss: 0.02, multiple: 3, least: 0.6, skewed: true, before: joinAndLeave},
		"owners restart":              {multiple: 1.5, least: 0.75, before: restartOwners},
		"owners hang":                 {multiple: 1.5, least: 0.3, before: hangOwners},
		"owners die":                  {multiple: 1.5, least: 0.85, before: killOwners},
		"limits are lowered":          {multiple: 1.5, before: lowerLimits},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 4, 1)
			f.loss = tc.loss
			pick := f.anyNode
			if tc.skewed {
				pick = func(ws string) *node {
					return f.nodes[f.names[(len(ws)*31+int(ws[len(ws)-1])*7+f.rand.IntN(3)*97)%entries]]
				}
			}
			before := nothing
			if tc.before != nil {
				before = tc.before(f)
			}
			const d = 24 * clock.Second
			f.load(d, tc.multiple, pick, before)
			f.report(d)
			f.checkBound()
			least, leastOf := 2.0, ""
			for ws, l := range f.limits {
				if share := f.used(ws) / (l.Rate*24 + l.Burst); share < least {
					least, leastOf = share, ws
				}
			}
			t.Logf("least used: %.3f of the limit (%s)", least, leastOf)
			if least < tc.least {
				t.Errorf("%s ran %.3f of its limit, want %.2f", leastOf, least, tc.least)
			}
		})
	}
}

// cutNetwork cuts the network in two for 10 s.
func cutNetwork(f *fleet) func(clock.Millis) {
	return func(at clock.Millis) {
		for i, name := range f.names {
			f.nodes[name].side = 0
			if at >= 5*clock.Second && at < 15*clock.Second {
				f.nodes[name].side = i % 2
			}
		}
	}
}

// joinAndLeave adds or removes an entry each second; all learn it within 1.5 s.
func joinAndLeave(f *fleet) func(clock.Millis) {
	list := f.nodes[f.names[0]].list
	return func(at clock.Millis) {
		if at%clock.Second != 0 || at == 0 {
			return
		}
		i := int(at / clock.Second)
		list = append([]core.Instance(nil), list...)
		if i%2 == 1 {
			// An owner leaves. It serves until the others have learned of it.
			name := f.owner(fmt.Sprintf("ws-%d", i/2%16)).in.Name
			for j := range list {
				if list[j].Name == name {
					list = append(list[:j], list[j+1:]...)
					break
				}
			}
		} else {
			in := core.Instance{Name: fmt.Sprintf("new-%d", i), Peer: fmt.Sprintf("10.1.0.%d:7000", i)}
			list = append(list, in)
			f.add(in, list)
		}
		f.publish(list, 1500)
	}
}

// restartOwners ends an owner every second and starts it half a second later.
func restartOwners(f *fleet) func(clock.Millis) {
	var down *node
	return func(at clock.Millis) {
		switch {
		case at%clock.Second == 0:
			down = f.owner(fmt.Sprintf("ws-%d", int(at/clock.Second)%4))
			down.down = true
		case at%clock.Second == 500 && down != nil:
			f.add(down.in, down.list)
		}
	}
}

// hangOwners stops the owners of two workspaces for 10 s, whose connections stay open.
func hangOwners(f *fleet) func(clock.Millis) {
	hung := []*node{f.owner("ws-3"), f.owner("ws-9")}
	return func(at clock.Millis) {
		for _, n := range hung {
			n.hung = at >= 5*clock.Second && at < 15*clock.Second
		}
	}
}

// killOwners ends the owners of two workspaces for good. The list keeps them.
func killOwners(f *fleet) func(clock.Millis) {
	killed := []*node{f.owner("ws-3"), f.owner("ws-9")}
	return func(at clock.Millis) {
		for _, n := range killed {
			n.down = at >= 5*clock.Second
		}
	}
}

// lowerLimits halves all limits after 12 s. What ran until one window later is forgotten,
// since the new limits bind from then on.
func lowerLimits(f *fleet) func(clock.Millis) {
	return func(at clock.Millis) {
		for ws, l := range f.limits {
			switch at {
			case 12 * clock.Second:
				l.Rate, l.Burst = l.Rate/2, l.Burst/2
				f.limits[ws] = l
			case 12*clock.Second + step:
				f.runs[ws] = nil
			}
		}
	}
}
