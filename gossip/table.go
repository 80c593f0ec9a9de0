package gossip

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/notice"
	"lacewinghook.example/lacewinghook/notify"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/shard"
	"lacewinghook.example/lacewinghook/taint"
	"lacewinghook.example/lacewinghook/watch"
)

// Heartbeat is the state of the entry that sends it.
type Heartbeat struct {
	Instance core.Instance `json:"instance"`
	// Boot identifies the run of the entry, and Seq orders the heartbeats of a
	// run.
	Boot uint64 `json:"boot"`
	Seq  uint64 `json:"seq"`
	// Ready reports whether the entry accepts new work.
	Ready bool `json:"ready,omitempty"`
	// PeerState summarizes the entry's copy of the store.
	watch.PeerState
	// Loads is the entry's in-flight work at the upstreams.
	Loads []Load `json:"loads,omitempty"`
	// Tainted are the parts of prompts that may crash upstreams of which the receiver
	// hasn't been told. TaintSum identifies what the sender knows of them.
	Tainted  []taint.Suspect `json:"tainted,omitempty"`
	TaintSum uint64          `json:"taint_sum,omitempty"`
	// Requests and RequestSum are the same for whole requests, by their digests.
	Requests   []taint.Suspect `json:"requests,omitempty"`
	RequestSum uint64          `json:"request_sum,omitempty"`
	// Leaving lists the replicas that have stated that they leave.
	Leaving []notice.Word `json:"leaving,omitempty"`
	// Refused lists the replicas whose addresses have just refused a connection.
	Refused []notice.Word `json:"refused,omitempty"`
}

// Load is the in-flight work of one entry at one upstream.
type Load struct {
	Upstream string `json:"u"`
	// Requests counts requests, Tokens their prompt tokens to compute, and
	// Pieces their reserved pieces of KV cache.
	Requests int `json:"r,omitempty"`
	Tokens   int `json:"t,omitempty"`
	Pieces   int `json:"p,omitempty"`
}

// Sender sends heartbeats to other entries.
type Sender interface {
	SendHeartbeat(ctx context.Context, addr string, h Heartbeat) error
}

// Peer is the last reported state of another entry.
type Peer struct {
	core.Instance
	// Heartbeat is the last heartbeat, and HeartbeatAt the instant at which it
	// arrived.
	Heartbeat   Heartbeat
	HeartbeatAt clock.Millis
	// Listed reports whether the platform's table contains the peer.
	Listed bool
}

// Intervals and timeouts of the heartbeats.
const (
	// heartbeatInterval is the interval between heartbeats to a peer while
	// nothing changes.
	heartbeatInterval clock.Millis = 600
	// minSendGap is the minimum pause between two heartbeats to a peer, for up
	// to minGapPeers peers. With more peers it grows with their number, so
	// that the maximum rate at which an entry sends stays constant.
	minSendGap  clock.Millis = 10
	minGapPeers int          = 8
	// LiveTimeout is how long a peer counts as live after a heartbeat: three
	// missing heartbeats and the network delay.
	LiveTimeout clock.Millis = 2100
	// sparseFactor multiplies LiveTimeout and the interval between neighbours.
	sparseFactor = 1.6
	// sparseSendGap is the minimum pause between neighbours. News reaches all entries in a
	// few steps, and news that arrives in between is sent together.
	sparseSendGap clock.Millis = 100
	// staleTimeout is how long a peer is kept that is not listed and sends no
	// heartbeats.
	staleTimeout = 30 * clock.Second
	// sendTimeout bounds one attempt to send a heartbeat.
	sendTimeout = 1 * clock.Second
	// retryPause is the pause after a heartbeat that could not be sent.
	retryPause clock.Millis = 700
)

// Table tracks the peers by their heartbeats, and sends them those of this entry.
// Sender, Self and Heartbeat are required.
type Table struct {
	Sender Sender
	// Self is the address at which this entry receives heartbeats.
	Self string
	// Heartbeat returns the heartbeat to send; the table sets its Seq.
	Heartbeat func() Heartbeat
	// Extend, if not nil, adds what the peer at an address needs to know to a heartbeat.
	// Unsent, if not nil, is called if that heartbeat couldn't be sent, and Forget if the
	// peer has restarted or was removed.
	Extend         func(addr string, h *Heartbeat)
	Unsent, Forget func(addr string)
	// OnHeartbeat, if not nil, is called after each heartbeat that was not
	// ignored.
	OnHeartbeat func(Heartbeat)
	Clock       clock.Clock
	Log         *zap.Logger

	// peers maps addresses to peers.
	peers shard.Map[string, *peer]
	// peerCount is the number of peers, kept here because each heartbeat reads
	// it.
	peerCount atomic.Int64
	// roster holds the listed entries and this entry's neighbours.
	roster atomic.Pointer[roster]
	// seq is the sequence number of the last heartbeat sent, and ctx the context
	// of Run.
	seq atomic.Uint64
	ctx atomic.Pointer[context.Context]
	wg  sync.WaitGroup
}

// peer is a peer in the table. mu guards all fields but addr and changed. sending
// is set once its sender has been started, and changed wakes the sender.
type peer struct {
	addr string
	mu   sync.Mutex
	Peer
	addedAt clock.Millis
	sending bool
	live    bool
	changed notify.Signal
	cancel  context.CancelFunc
}

// Run sends heartbeats to the peers until ctx ends.
func (t *Table) Run(ctx context.Context) {
	t.ctx.Store(&ctx)
	t.peers.Each(func(_ string, p *peer) bool {
		t.startSender(p)
		return true
	})
	t.Clock.Every(ctx, staleTimeout/4, func(context.Context) { t.removeStale() })
	t.wg.Wait()
}

// Merge adds the entries listed in the platform's table, or the neighbours among
// them. A peer that is no longer listed is kept until its heartbeats stop.
func (t *Table) Merge(list []core.Instance) {
	listed := make(map[string]bool, len(list))
	r := newRoster(t.Self, list)
	t.roster.Store(r)
	for _, in := range list {
		if in.Peer == t.Self || in.Peer == "" {
			continue
		}
		listed[in.Peer] = true
		if !r.neighbour(in.Peer) && !t.known(in.Peer) {
			continue
		}
		p := t.peer(in.Peer)
		p.mu.Lock()
		p.Listed = true
		if p.Heartbeat.Seq == 0 {
			p.Instance = in
		}
		p.mu.Unlock()
		t.startSender(p)
	}
	t.peers.Each(func(addr string, p *peer) bool {
		if !listed[addr] {
			p.mu.Lock()
			p.Listed = false
			p.mu.Unlock()
		}
		return true
	})
}

// AddAddresses adds addresses at which entries may be running.
func (t *Table) AddAddresses(addrs []string) {
	for _, addr := range addrs {
		if addr != t.Self && addr != "" {
			t.startSender(t.peer(addr))
		}
	}
}

// HandleHeartbeat processes a heartbeat. One that arrives after a later heartbeat
// of the same run is ignored.
func (t *Table) HandleHeartbeat(h Heartbeat) {
	addr := h.Instance.Peer
	if addr == t.Self || addr == "" {
		return
	}
	p := t.peer(addr)
	p.mu.Lock()
	stale := h.Boot == p.Heartbeat.Boot && h.Seq <= p.Heartbeat.Seq
	becameLive := !p.live
	restarted := p.Heartbeat.Seq > 0 && h.Boot != p.Heartbeat.Boot
	if !stale {
		p.Instance, p.Heartbeat, p.HeartbeatAt, p.live = h.Instance, h, t.Clock.Now(), true
	}
	p.mu.Unlock()
	if stale {
		return
	}
	if restarted {
		t.forget(addr)
	}
	t.startSender(p)
	if becameLive {
		t.log().Info("gossip: a peer is live", zap.String("peer", h.Instance.Name), zap.String("addr", addr),
			zap.Bool("ready", h.Ready), zap.Int64("manifest", h.Manifest))
		p.changed.Send()
	}
	if t.OnHeartbeat != nil {
		t.OnHeartbeat(h)
	}
}

// Trigger sends a heartbeat to all peers without waiting for the interval.
func (t *Table) Trigger() {
	t.peers.Each(func(_ string, p *peer) bool {
		p.changed.Send()
		return true
	})
}

// Live returns the peers with a recent heartbeat, sorted by name.
func (t *Table) Live() []Peer {
	since := t.liveCutoff()
	var live []Peer
	t.peers.Each(func(_ string, p *peer) bool {
		p.mu.Lock()
		if p.liveSince(since) {
			live = append(live, p.Peer)
		}
		p.mu.Unlock()
		return true
	})
	slices.SortFunc(live, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return live
}

// scaled returns d, or a multiple if this entry exchanges heartbeats only with its
// neighbours.
func (t *Table) scaled(d clock.Millis) clock.Millis {
	if t.Sparse() {
		return clock.Millis(float64(d) * sparseFactor)
	}
	return d
}

// sendGap returns the minimum pause between two heartbeats to a peer.
func (t *Table) sendGap() clock.Millis {
	if t.Sparse() {
		return sparseSendGap
	}
	return minSendGap * clock.Millis(max(minGapPeers, t.size())) / clock.Millis(minGapPeers)
}

// size returns the number of peers.
func (t *Table) size() int { return int(t.peerCount.Load()) }

// liveCutoff returns the instant after which the last heartbeat of a live peer
// must have arrived.
func (t *Table) liveCutoff() clock.Millis { return t.Clock.Now() - t.scaled(LiveTimeout) }

// liveSince reports whether a heartbeat has arrived since the cutoff.
func (p *peer) liveSince(since clock.Millis) bool {
	return p.Heartbeat.Seq > 0 && p.HeartbeatAt >= since
}

// MaxEntries returns an upper bound of the number of running entries: this one
// and the peers that are listed or live.
func (t *Table) MaxEntries() int {
	since := t.liveCutoff()
	r := t.roster.Load()
	n := 1 + r.others()
	t.peers.Each(func(_ string, p *peer) bool {
		p.mu.Lock()
		if !p.Listed && p.liveSince(since) {
			n++
		}
		p.mu.Unlock()
		return true
	})
	return n
}

// WithoutHeartbeat returns the listed entries that have sent no heartbeat for
// longer than d, sorted by name. Of many entries only neighbours are watched.
func (t *Table) WithoutHeartbeat(d clock.Millis) []core.Instance {
	now := t.Clock.Now()
	r := t.roster.Load()
	var missing []core.Instance
	t.peers.Each(func(_ string, p *peer) bool {
		p.mu.Lock()
		if p.Listed && r.neighbour(p.addr) && now-max(p.HeartbeatAt, p.addedAt) > d {
			missing = append(missing, p.Instance)
		}
		p.mu.Unlock()
		return true
	})
	slices.SortFunc(missing, func(a, b core.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return missing
}

// PeerWork returns the in-flight work of the live peers at each upstream.
func (t *Table) PeerWork() map[string]pool.Work {
	sum := make(map[string]pool.Work)
	since := t.liveCutoff()
	t.peers.Each(func(_ string, p *peer) bool {
		p.mu.Lock()
		if p.liveSince(since) {
			for _, l := range p.Heartbeat.Loads {
				sum[l.Upstream] = sum[l.Upstream].Add(pool.Work{Requests: l.Requests, Tokens: l.Tokens, Held: l.Pieces})
			}
		}
		p.mu.Unlock()
		return true
	})
	return sum
}

// peer returns the peer at that address, which it adds if it is new.
func (t *Table) peer(addr string) *peer {
	return t.peers.Ensure(addr, func() *peer {
		t.peerCount.Add(1)
		return &peer{addr: addr, addedAt: t.Clock.Now()}
	})
}

// known reports whether there is a peer at that address.
func (t *Table) known(addr string) bool {
	_, ok := t.peers.Get(addr)
	return ok
}

// wanted reports whether this entry sends heartbeats to the peer: to neighbours, to
// entries that aren't listed yet, and to those that aren't ready, which need the
// state of others. The caller holds p.mu.
func (t *Table) wanted(p *peer) bool {
	r := t.roster.Load()
	return r.neighbour(p.addr) || !r.listed(p.addr) || p.Heartbeat.Seq > 0 && !p.Heartbeat.Ready
}

// startSender starts the peer's sender unless it runs, the peer gets no heartbeats or
// [Table.Run] hasn't been called yet.
func (t *Table) startSender(p *peer) {
	ctx := t.ctx.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx == nil || p.sending || !t.wanted(p) {
		return
	}
	p.sending = true
	senderCtx, cancel := context.WithCancel(*ctx)
	p.cancel = cancel
	t.wg.Go(func() { t.sendLoop(senderCtx, p) })
}

// sendLoop sends heartbeats to one peer, at each interval and after each
// [Table.Trigger], until ctx ends or the peer gets none any more.
func (t *Table) sendLoop(ctx context.Context, p *peer) {
	for ctx.Err() == nil {
		if t.stopUnwanted(p) {
			return
		}
		h := t.Heartbeat()
		h.Seq = t.seq.Add(1)
		if t.Extend != nil {
			t.Extend(p.addr, &h)
		}
		call, cancel := context.WithTimeout(ctx, sendTimeout.Duration())
		err := t.Sender.SendHeartbeat(call, p.addr, h)
		cancel()
		pause := t.sendGap()
		if err != nil {
			pause = retryPause
			if t.Unsent != nil {
				t.Unsent(p.addr)
			}
		}
		t.checkLiveness(p)
		if t.Clock.Sleep(ctx, pause) != nil {
			return
		}
		p.changed.Wait(ctx, t.Clock, t.scaled(heartbeatInterval))
	}
}

// stopUnwanted marks the peer's sender as stopped if the peer gets no heartbeats, and
// reports whether it did.
func (t *Table) stopUnwanted(p *peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.wanted(p) {
		return false
	}
	p.sending = false
	p.cancel()
	return true
}

// checkLiveness marks a peer whose heartbeats have stopped as not live, and logs
// it.
func (t *Table) checkLiveness(p *peer) {
	p.mu.Lock()
	expired := p.live && !p.liveSince(t.liveCutoff())
	if expired {
		p.live = false
	}
	name, at := p.Name, p.HeartbeatAt
	p.mu.Unlock()
	if expired {
		t.log().Warn("gossip: a peer is silent", zap.String("peer", name), zap.Int64("age", int64(t.Clock.Now()-at)))
	}
}

// removeStale removes the peers that are neither listed nor send heartbeats.
func (t *Table) removeStale() {
	now := t.Clock.Now()
	var removed []string
	t.peers.Each(func(addr string, p *peer) bool {
		p.mu.Lock()
		if (!p.Listed || !t.wanted(p)) && now-max(p.HeartbeatAt, p.addedAt) > staleTimeout {
			removed = append(removed, addr)
			if p.cancel != nil {
				p.cancel()
			}
		}
		p.mu.Unlock()
		return true
	})
	for _, addr := range removed {
		t.peers.Delete(addr)
		t.peerCount.Add(-1)
		t.forget(addr)
	}
}

// forget calls Forget, if set.
func (t *Table) forget(addr string) {
	if t.Forget != nil {
		t.Forget(addr)
	}
}

// log returns Log, or a logger that discards everything.
func (t *Table) log() *zap.Logger {
	if t.Log == nil {
		return zap.NewNop()
	}
	return t.Log
}
