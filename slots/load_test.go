package slots_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/assign"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/limit"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/relay"
	"lacewinghook.example/lacewinghook/slots"
	gate "lacewinghook.example/lacewinghook/zones"
)

// The load of a deployment with many entries before few slots.
const (
	service                = "desk"
	zones                  = 4
	entries, replicas      = 63, 5
	slotsEach, queueEach   = 6, 24
	work                   = 60 * time.Millisecond
	callsPerSecond         = 195
	period, burst          = 4 * time.Second, 1 * time.Second
	duration               = 12 * time.Second
	target, deadline       = clock.Millis(300), clock.Millis(1500)
	betweenZones, inZone   = 1400 * time.Microsecond, 200 * time.Microsecond
	retryRatio, retrySlack = 0.2, 206
)

// site is a deployment in one process. It delivers the messages between its entries.
type site struct {
	ctx       context.Context
	upstreams []core.Upstream
	servers   map[string]*server
	groups    slots.Groups
	list      []core.Instance
	entries   []*entry
	byAddr    sync.Map
	// down holds the addresses that don't answer, and lostEnds the percentage of batches of
	// ends that are lost.
	down     sync.Map
	lostEnds atomic.Int64
	// messages counts the messages between entries.
	messages atomic.Int64
	mu       sync.Mutex
	// took holds the times of the answered calls, and failed counts the others.
	took   []clock.Millis
	failed int
}

// entry is one entry of a site.
type entry struct {
	relay  relay.Relay
	client *slots.Client
	desk   *slots.Desk
	stop   context.CancelFunc
}

// server is a replica with slots and a queue.
type server struct {
	centre  string
	slots   chan struct{}
	present atomic.Int64
	refused atomic.Int64
	sends   atomic.Int64
	// slowdown is the factor by which calls take longer, in percent.
	slowdown atomic.Int64
	// failing means that it answers all calls with a failure at once.
	failing atomic.Bool
}

// upstreams sends the calls of an entry to the servers.
type upstreams struct {
	relay.Upstreams
	site   *site
	centre string
}

// delay is the time of a message between two zones.
func delay(a, b string) time.Duration {
	if a == b {
		return inZone
	}
	return betweenZones
}

// Send implements [relay.Upstreams].
func (u upstreams) Send(ctx context.Context, up core.Upstream, _ relay.SendRequest) (relay.Answer, error) {
	s := u.site.servers[up.Name]
	s.sends.Add(1)
	time.Sleep(delay(u.centre, s.centre))
	defer time.Sleep(delay(u.centre, s.centre))
	if s.failing.Load() {
		return relay.Answer{Reply: core.Reply{Status: 500, Length: -1}, Body: io.NopCloser(strings.NewReader("failed"))}, nil
	}
	if s.present.Add(1) > slotsEach+queueEach {
		s.present.Add(-1)
		s.refused.Add(1)
		return relay.Answer{}, codes.New(codes.UpstreamRefused, "%s is full", up.Name)
	}
	defer s.present.Add(-1)
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return relay.Answer{}, codes.From(ctx.Err())
	}
	// The median of this distribution is 0.88 of its mean.
	took := time.Duration(float64(work) * 0.88 * math.Exp(0.5*rand.NormFloat64()) * float64(s.slowdown.Load()) / 100)
	time.Sleep(took)
	<-s.slots
	return relay.Answer{Reply: core.Reply{Status: 200, Length: -1}, Body: io.NopCloser(strings.NewReader("ok"))}, nil
}

// sink is a caller that discards its answer.
type sink struct{ status int }

func (s *sink) Reply(r core.Reply) error { s.status = r.Status; return nil }
func (*sink) Write([]byte) error         { return nil }

// budget is one entry's share of the retry budget.
type budget struct{ limit.Window }

func (b *budget) quota() limit.Quota {
	return limit.Quota{Span: 10 * clock.Second, Ratio: retryRatio, Allowance: retrySlack / entries}
}
func (b *budget) CountFirst(string) { b.Window.CountFirst(clock.Clock{}.Now(), b.quota()) }
func (b *budget) TakeRetries(_ string, n int) bool {
	return b.Spend(clock.Clock{}.Now(), b.quota(), n)
}
func (b *budget) ReturnRetries(_ string, since clock.Millis, n int) {
	b.Return(since, clock.Clock{}.Now(), b.quota(), n)
}

// at returns the entry at an address.
func (s *site) at(addr string) *entry {
	e, _ := s.byAddr.Load(addr)
	return e.(*entry)
}

// AskSlot implements [slots.Peers].
func (s *site) AskSlot(ctx context.Context, addr string, a slots.Ask) (slots.Answer, error) {
	s.messages.Add(2)
	e := s.at(addr)
	way := delay(s.centre(a.Entry), e.client.Self.Centre)
	time.Sleep(way)
	if _, down := s.down.Load(addr); down {
		<-ctx.Done()
		return slots.Answer{}, ctx.Err()
	}
	answer := make(chan slots.Answer, 1)
	go func() { answer <- e.desk.Serve(context.Background(), a); time.Sleep(way) }()
	select {
	case got := <-answer:
		time.Sleep(way)
		return got, nil
	case <-ctx.Done():
		return slots.Answer{}, ctx.Err()
	}
}

// EndSlots implements [slots.Peers].
func (s *site) EndSlots(ctx context.Context, addr string, e slots.Ends) error {
	s.messages.Add(1)
	time.Sleep(betweenZones)
	if _, down := s.down.Load(addr); down {
		<-ctx.Done()
		return ctx.Err()
	}
	if rand.Int64N(100) >= s.lostEnds.Load() {
		s.at(addr).desk.HandleEnds(e)
	}
	return nil
}

// newSite starts the replicas, and the entries with slots or without.
func newSite(ctx context.Context, granted bool) *site {
	s := &site{ctx: ctx, servers: make(map[string]*server)}
	var fleet []core.Replica
	for i := range replicas {
		up := core.Upstream{Name: fmt.Sprint("d", i), Role: core.Service, Service: service, Centre: []string{"z0", "z0", "z0", "z1", "z2"}[i]}
		s.upstreams = append(s.upstreams, up)
		fleet = append(fleet, core.Replica{Upstream: up, Slots: slotsEach})
		s.servers[up.Name] = &server{centre: up.Centre, slots: make(chan struct{}, slotsEach)}
		s.servers[up.Name].slowdown.Store(100)
	}
	s.groups = slots.Divide(service, fleet)
	for i := range entries {
		name := fmt.Sprintf("e%02d", i)
		s.list = append(s.list, core.Instance{Name: name, Peer: name, Centre: fmt.Sprint("z", i%zones)})
	}
	for _, in := range s.list {
		s.entries = append(s.entries, s.start(ctx, in, granted))
	}
	return s
}

// start starts an entry.
func (s *site) start(ctx context.Context, in core.Instance, granted bool) *entry {
	ctx, stop := context.WithCancel(ctx)
	e := &entry{stop: stop}
	e.desk = &slots.Desk{Replicas: func(_ string, group int) []slots.Replica { return s.groups.Replicas[group] }, Centres: s.centre, Gate: &gate.Gate{}}
	e.client = &slots.Client{
		Desk: e.desk, Peers: s, Self: in, Boot: core.NewBoot(), Entries: func() []core.Instance { return s.list },
		Groups: func(string) slots.Groups { return s.groups },
	}
	table := &pool.Table{}
	table.Apply(&core.Document{Upstreams: s.upstreams})
	e.relay = relay.Relay{Upstreams: upstreams{site: s, centre: in.Centre}, Pool: table, Budget: &budget{}, Centre: in.Centre}
	if granted {
		e.relay.Slots = e.client
	}
	s.byAddr.Store(in.Peer, e)
	go e.desk.Run(ctx)
	go e.client.Run(ctx)
	return e
}

// centre returns the zone of an entry.
func (s *site) centre(entry string) string {
	return s.list[slices.IndexFunc(s.list, func(in core.Instance) bool { return in.Name == entry })].Centre
}

// arrival returns the entry at which the next call arrives. Half of the calls
// arrive in zone 1, which has one replica.
func (s *site) arrival() *entry {
	zone := rand.IntN(2 * zones)
	if zone >= zones {
		zone = 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[zone+zones*rand.IntN((entries-zone+zones-1)/zones)]
}

// call makes one call at an entry.
func (s *site) call(e *entry) {
	now := clock.Clock{}.Now()
	caller := &sink{}
	err := e.relay.Run(context.Background(), &core.Request{
		Arrived: now, Deadline: now + deadline, Profile: core.Profile{FirstToken: target},
		Opaque: &core.Opaque{Service: service, Route: core.HostRoute{Repeatable: true, Profile: core.Profile{FirstToken: target, Retries: 1}}},
	}, caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || caller.status != 200 {
		s.failed++
		return
	}
	s.took = append(s.took, clock.Clock{}.Now()-now)
}

// result is what callers and replicas saw of a load.
type result struct {
	calls, sends, refused, failed int
	inTarget, messages            float64
}

func (r result) String() string {
	return fmt.Sprintf("%d calls, %d sends, %d refused by replicas, %d failed, %.2f%% in the target, %.2f messages a call",
		r.calls, r.sends, r.refused, r.failed, 100*r.inTarget, r.messages)
}

// run replays the load. events are called at their times.
func run(t *testing.T, granted bool, events map[time.Duration]func(*site)) (r result) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := newSite(ctx, granted)
		begin := time.Now()
		for at, f := range events {
			time.AfterFunc(at, func() { f(s) })
		}
		var wg sync.WaitGroup
		for since := time.Duration(0); since < duration; since = time.Since(begin) {
			rate := float64(callsPerSecond)
			if since%period < burst {
				rate *= 2
			}
			time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
			wg.Go(func() { s.call(s.arrival()) })
		}
		wg.Wait()
		// All grants have ended by now, or at their deadlines.
		time.Sleep((deadline + 200).Duration())
		for _, e := range s.entries {
			if n := e.desk.InFlight(); n != 0 {
				t.Errorf("%d calls are still counted at %s", n, e.client.Self.Name)
			}
		}
		stop()
		for _, v := range s.servers {
			r.sends += int(v.sends.Load())
			r.refused += int(v.refused.Load())
		}
		within := 0
		for _, took := range s.took {
			if took <= target {
				within++
			}
		}
		r.calls, r.failed = len(s.took)+s.failed, s.failed
		r.inTarget, r.messages = float64(within)/float64(r.calls), float64(s.messages.Load())/float64(r.calls)
	})
	t.Log(r)
	return r
}

// slow changes the speed of replicas.
func (s *site) slow(percent int64, names ...string) {
	for _, name := range names {
		s.servers[name].slowdown.Store(percent)
	}
}

// restart ends entries without the ends of their calls, and starts them again.
func (s *site) restart(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, in := range s.list {
		if slices.Contains(names, in.Name) {
			s.entries[i].stop()
			s.entries[i] = s.start(s.ctx, in, s.entries[i].relay.Slots != nil)
		}
	}
}

// owner returns the entry that owns the group at first.
func (s *site) owner() core.Instance {
	name := assign.Owner(assign.GroupKey(service, 0), s.list)
	for _, in := range s.list {
		if in.Name == name {
			return in
		}
	}
	return core.Instance{}
}

// TestLoad replays the load with each entry choosing by itself, and with an owner. It
// guards against calls that are refused, sent again or late although other replicas have
// free slots, also while an owner, ends or entries are lost and while a replica is slow or
// fails. The load is at most 78% of the slots. Only while all replicas are slow is it more.
func TestLoad(t *testing.T) {
	const most = 0.99
	for name, c := range map[string]struct {
		events map[time.Duration]func(*site)
		// inTarget is the share of calls that must meet the target, zero if it need only
		// be more than without an owner.
		inTarget float64
	}{
		"calm": {nil, most},
		// The loss may delay the calls of half a second.
		"owner lost": {map[time.Duration]func(*site){
			4200 * time.Millisecond: func(s *site) { s.down.Store(s.owner().Peer, true) },
		}, 1 - 0.5/duration.Seconds()},
		"ends lost": {map[time.Duration]func(*site){0: func(s *site) { s.lostEnds.Store(2) }}, most},
		"entries restarted": {map[time.Duration]func(*site){
			4500 * time.Millisecond: func(s *site) { s.restart(s.owner().Name, "e00", "e01", "e02", "e03", "e04", "e05") },
		}, most},
		"slow replica": {map[time.Duration]func(*site){
			3500 * time.Millisecond: func(s *site) { s.slow(250, "d1") },
			7000 * time.Millisecond: func(s *site) { s.slow(100, "d1") },
		}, most},
		"failing replica": {map[time.Duration]func(*site){
			3500 * time.Millisecond: func(s *site) { s.servers["d1"].failing.Store(true) },
			7000 * time.Millisecond: func(s *site) { s.servers["d1"].failing.Store(false) },
		}, most},
		"all replicas slow": {map[time.Duration]func(*site){
			3500 * time.Millisecond: func(s *site) { s.slow(250, "d0", "d1", "d2", "d3", "d4") },
			6500 * time.Millisecond: func(s *site) { s.slow(100, "d0", "d1", "d2", "d3", "d4") },
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			blind := run(t, false, c.events)
			owned := run(t, true, c.events)
			is.Equal(owned.refused, 0)
			is.True(owned.inTarget >= c.inTarget)
			is.True(c.inTarget > 0 || owned.inTarget > blind.inTarget)
			is.True(owned.sends-owned.calls <= blind.sends-blind.calls+owned.calls/100)
		})
	}
}
