package edge

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/follow"
	"lacewinghook.example/lacewinghook/gossip"
	"lacewinghook.example/lacewinghook/wire"
)

// takeManifest puts a manifest in force.
func (e *Edge) takeManifest(m *core.Manifest) {
	if !e.routes.Apply(m) {
		return
	}
	e.applyPool()
	e.gossip.Changed()
}

// takeFleet puts a list of replicas in force.
func (e *Edge) takeFleet(fleet core.Fleet) {
	old := e.fleet.Swap(&fleet)
	if old == nil || old.Members() != fleet.Members() {
		e.logChanges(old, &fleet)
		e.applyPool()
	}
	// The peers need not read what this entry has just read.
	e.gossip.Changed()
	e.replicas.Retain(fleet.Replicas)
}

// applyPool lets the pool have the replicas as the manifest and the list say.
func (e *Edge) applyPool() {
	// Manifest and list come in threads of their own: the later call must see
	// both.
	e.applying.Lock()
	defer e.applying.Unlock()
	fleet, m := e.fleet.Load(), e.routes.Manifest()
	if fleet == nil || m == nil {
		return
	}
	doc := &core.Document{Version: m.Version}
	for _, r := range fleet.Replicas {
		up := r.Upstream
		if s, ok := m.Service(up.Service); ok && s.Engines != nil && up.Role == core.Decode {
			up.Pieces = s.Engines.Tokens / core.PieceTokens
		}
		doc.Upstreams = append(doc.Upstreams, up)
	}
	e.pool.Apply(doc)
	for _, r := range fleet.Replicas {
		e.pool.Drain(r.Name, r.Leaving)
	}
	e.stale.Store(true)
	e.applied.Store(true)
}

// logChanges logs which replicas came, left or began to leave.
func (e *Edge) logChanges(old, fleet *core.Fleet) {
	before := make(map[string]core.Replica)
	if old != nil {
		for _, r := range old.Replicas {
			before[r.Name] = r
		}
	}
	for _, r := range fleet.Replicas {
		was, ok := before[r.Name]
		delete(before, r.Name)
		if !ok || was.Leaving != r.Leaving || was.Born != r.Born || was.Role != r.Role {
			e.Log.Info("edge: a replica has changed", zap.String("replica", r.Name), zap.String("addr", r.Addr),
				zap.String("service", r.Service), zap.String("role", string(r.Role)), zap.Bool("leaving", r.Leaving),
				zap.Bool("new", !ok), zap.Int64("revision", fleet.Revision))
		}
	}
	for name, r := range before {
		e.Log.Info("edge: a replica is gone", zap.String("replica", name), zap.String("addr", r.Addr),
			zap.String("service", r.Service), zap.Int64("revision", fleet.Revision))
	}
}

func (e *Edge) spec(service string) (core.ServiceSpec, bool) {
	m := e.routes.Manifest()
	if m == nil {
		return core.ServiceSpec{}, false
	}
	return m.Service(service)
}

// self describes this entry.
func (e *Edge) self() core.Instance {
	s := e.Settings
	in := core.Instance{Name: s.Instance, Addr: s.Callers.Listen, Peer: s.Peers.Listen, Centre: s.Centre, State: core.Live}
	if e.leaving.Load() {
		in.State = core.Leaving
	}
	return in
}

// hello is what this entry tells its peers.
func (e *Edge) hello() gossip.Hello {
	h := gossip.Hello{Instance: e.self(), Boot: e.boot, Ready: e.Ready(), PeerState: e.follower.Told()}
	h.Marks = e.suspects.Unkept()
	for _, l := range e.pool.Loads() {
		if l.Work.Tokens != 0 || l.Work.Pieces != 0 {
			h.Loads = append(h.Loads, gossip.Load{Upstream: l.Upstream, Requests: l.Work.Requests, Tokens: l.Work.Tokens, Pieces: l.Work.Pieces})
		}
	}
	return h
}

// heard takes note of a peer's message.
func (e *Edge) heard(h gossip.Hello) {
	e.suspects.Merge(h.Marks)
	e.stale.Store(true)
	e.told.Send()
	e.follower.Heard(h.PeerState)
}

// wakeEvery is the least pause between two looks of waiting requests at what
// peers have told. A stream ends about this often at the peak of a small site.
const wakeEvery clock.Millis = 10

// wakeLines lets waiting requests look for room after peers have told of their
// work.
func (e *Edge) wakeLines(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.told.C():
		}
		e.relay.Wake()
		if e.Clock.Sleep(ctx, wakeEvery) != nil {
			return
		}
	}
}

// view answers a peer that knows less.
func (e *Edge) view(_ context.Context, have wire.Have) (wire.View, error) {
	fleet, entries := e.follower.View()
	v := wire.View{Fleet: fleet}
	if have.Entries {
		v.Entries = entries
	}
	if m := e.routes.Manifest(); m != nil && m.Version > have.Manifest {
		v.Manifest = m
	}
	return v, nil
}

// View implements [follow.Peers]. It asks the peer with the newest state, and
// a seed where no peer is heard yet.
func (e *Edge) View(ctx context.Context, manifest, fleet int64, entries bool) (follow.View, bool) {
	addr := ""
	best := int64(0)
	for _, p := range e.gossip.Live() {
		newer := max(0, p.Hello.Manifest-manifest) + max(0, p.Hello.Fleet-fleet)
		if newer > best {
			best, addr = newer, p.Peer
		}
	}
	if addr == "" {
		return follow.View{}, false
	}
	v, err := e.peers.View(ctx, addr, wire.Have{Manifest: manifest, Entries: entries})
	if err != nil {
		e.Log.Warn("edge: a peer did not tell what it has", zap.String("addr", addr), zap.Error(err))
		return follow.View{}, false
	}
	e.Log.Info("edge: a peer told what it has", zap.String("addr", addr), zap.Int64("fleet", v.Fleet.Revision))
	return follow.View{Manifest: v.Manifest, Fleet: v.Fleet, Entries: v.Entries}, true
}

// Ahead implements [follow.Peers]: the live entries go by their names.
func (e *Edge) Ahead() int {
	n := 0
	for _, p := range e.gossip.Live() {
		if p.Name < e.Settings.Instance {
			n++
		}
	}
	return n
}

// Times of removing the rows of entries that are gone.
const (
	// goneAfter is how long an entry must not have been heard: a restart takes
	// seconds, and one that is only cut off writes its row again.
	goneAfter = 1 * clock.Minute
	// goneEvery is the pause between two looks.
	goneEvery = 20 * clock.Second
)

// removeGone removes the rows of entries that ended without a stop. The live
// entry with the first name does it for all.
func (e *Edge) removeGone(ctx context.Context) {
	if live := e.gossip.Live(); len(live) == 0 || live[0].Name < e.Settings.Instance {
		return
	}
	for _, in := range e.gossip.Silent(goneAfter) {
		err := e.store.Withdraw(ctx, in.Name)
		e.Log.Info("edge: the row of an entry that is gone is removed", zap.String("entry", in.Name), zap.Error(err))
	}
}

// Ready implements [platform.Directory].
func (e *Edge) Ready() bool {
	return !e.leaving.Load() && e.applied.Load()
}

// maxAddresses bounds an answer to callers that ask where to connect.
const maxAddresses = 64

// Addresses implements [platform.Directory].
func (e *Edge) Addresses(centre string) ([]string, clock.Millis) {
	var near, far []string
	add := func(in core.Instance) {
		if in.Centre == centre {
			near = append(near, in.Addr)
		} else {
			far = append(far, in.Addr)
		}
	}
	if e.Ready() {
		add(core.Instance{Addr: e.Settings.Callers.Listen, Centre: e.Settings.Centre})
	}
	for _, p := range e.gossip.Live() {
		if p.Hello.Ready && p.Hello.Instance.State == core.Live {
			add(p.Instance)
		}
	}
	all := slices.Concat(near, far)
	return all[:min(len(all), maxAddresses)], e.Settings.Fleet.Keep
}

// stop leaves, lingers while callers may still hold the address, and ends what
// is in flight.
func (e *Edge) stop(ctx context.Context, servers []*server) {
	grace := e.Settings.Fleet.Grace.Millis()
	linger := min(keepTimes*e.Settings.Fleet.Keep+askTime, grace/2)
	e.leaving.Store(true)
	e.gossip.Changed()
	e.Log.Info("edge: leaving", zap.Int64("linger", int64(linger)), zap.Int64("grace", int64(grace)))
	withdraw, cancel := context.WithTimeout(ctx, linger.Std())
	defer cancel()
	go func() {
		if err := e.follower.Leave(withdraw); err != nil {
			e.Log.Warn("edge: the entry's row was not removed", zap.Error(err))
		}
	}()
	// An ended context ends the linger early.
	_ = e.Clock.Sleep(ctx, linger)
	end, cancel := context.WithTimeout(ctx, (grace - linger - killMargin).Std())
	defer cancel()
	for _, s := range servers {
		if s.http == nil {
			continue
		}
		if err := s.http.Shutdown(end); err != nil {
			e.Log.Warn("edge: requests were cut", zap.Stringer("addr", s.ln.Addr()), zap.Error(err))
		}
	}
}

// Times of a stop.
const (
	// keepTimes is how many times the life of an answer some callers keep
	// it for, and askTime the way of an answer that was just given.
	keepTimes              = 3
	askTime   clock.Millis = 200
	// killMargin is left before the kill for the end of the process.
	killMargin clock.Millis = 500
)
