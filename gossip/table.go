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
	"lacewinghook.example/lacewinghook/follow"
	"lacewinghook.example/lacewinghook/notify"
	"lacewinghook.example/lacewinghook/poison"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/shard"
)

// Hello is what one entry tells the others.
type Hello struct {
	Instance core.Instance `json:"instance"`
	// Boot names this run of the entry, and Seq the message within it.
	Boot uint64 `json:"boot"`
	Seq  uint64 `json:"seq"`
	// Ready says that it takes new work.
	Ready bool `json:"ready,omitempty"`
	// PeerState is what the entry has of the store.
	follow.PeerState
	// Loads is the work that the entry has at the upstreams.
	Loads []Load `json:"loads,omitempty"`
	// Marks are those of requests that were at an upstream when it crashed.
	Marks []poison.Mark `json:"marks,omitempty"`
}

// Load is the work at one upstream.
type Load struct {
	Upstream string `json:"u"`
	Requests int    `json:"r,omitempty"`
	Tokens   int    `json:"t,omitempty"`
	Pieces   int    `json:"p,omitempty"`
}

// Sender sends messages to other entries.
type Sender interface {
	Hello(ctx context.Context, addr string, h Hello) error
}

// Peer is what is known of another entry.
type Peer struct {
	core.Instance
	// Hello is the last message, and At the instant at which it came.
	Hello Hello
	At    clock.Millis
	// Listed says that the platform's table names the peer.
	Listed bool
}

// Times of the messages.
const (
	// beatEvery is the pause between messages while nothing changes, for up to
	// fullPeers of them. Beyond, the pauses and the life of what was heard grow
	// with their number, so that what an entry sends and hears does not.
	beatEvery clock.Millis = 600
	fullPeers int          = 32
	// gapLeast is the least pause between two messages to a peer, for up to
	// gapPeers of them. Beyond, it grows with their number, so that what an
	// entry sends at the most does not.
	gapLeast clock.Millis = 10
	gapPeers int          = 8
	// LiveFor is how long a peer counts as live after a message: three that
	// are missing and the way.
	LiveFor clock.Millis = 2100
	// keptFor is how long a peer that is neither listed nor heard is kept.
	keptFor = 30 * clock.Second
	// sendTime bounds the sending of one message.
	sendTime = 1 * clock.Second
	// failedPause is the pause after a message that could not be sent.
	failedPause clock.Millis = 700
)

// Table holds the peers. Sender and Hello are needed.
type Table struct {
	Sender Sender
	// Self is the address at which this entry hears its peers.
	Self string
	// Hello returns what this entry tells; Seq is filled in.
	Hello func() Hello
	// OnHeard, if not nil, is called after each message that was taken over.
	OnHeard func(Hello)
	Clock   clock.Clock
	Log     *zap.Logger

	peers shard.Map[string, *peer]
	// known counts them, to be read with each message.
	known atomic.Int64
	seq   atomic.Uint64
	ctx   atomic.Pointer[context.Context]
	wg    sync.WaitGroup
}

// peer is one peer under its lock.
type peer struct {
	addr string
	mu   sync.Mutex
	Peer
	known   clock.Millis
	sending bool
	live    bool
	changed notify.Signal
	end     context.CancelFunc
}

// Run sends to the peers until ctx ends.
func (t *Table) Run(ctx context.Context) {
	t.ctx.Store(&ctx)
	t.peers.Each(func(_ string, p *peer) bool {
		t.launch(p)
		return true
	})
	t.Clock.Every(ctx, keptFor/4, func(context.Context) { t.forget() })
	t.wg.Wait()
}

// Know takes over the entries that the platform's table names. Those that it
// no longer names are kept as long as they are heard.
func (t *Table) Know(list []core.Instance) {
	listed := make(map[string]bool, len(list))
	for _, in := range list {
		if in.Peer == t.Self || in.Peer == "" {
			continue
		}
		listed[in.Peer] = true
		p := t.peer(in.Peer)
		p.mu.Lock()
		p.Listed = true
		if p.Hello.Seq == 0 {
			p.Instance = in
		}
		p.mu.Unlock()
		t.launch(p)
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

// Seed adds addresses at which entries may be heard.
func (t *Table) Seed(addrs []string) {
	for _, addr := range addrs {
		if addr != t.Self && addr != "" {
			t.launch(t.peer(addr))
		}
	}
}

// Heard takes over a message unless a later one of the same run has come
// before.
func (t *Table) Heard(h Hello) {
	addr := h.Instance.Peer
	if addr == t.Self || addr == "" {
		return
	}
	p := t.peer(addr)
	p.mu.Lock()
	old := h.Boot == p.Hello.Boot && h.Seq <= p.Hello.Seq
	fresh := !p.live
	if !old {
		p.Instance, p.Hello, p.At, p.live = h.Instance, h, t.Clock.Now(), true
	}
	p.mu.Unlock()
	if old {
		return
	}
	t.launch(p)
	if fresh {
		t.log().Info("gossip: a peer is heard", zap.String("peer", h.Instance.Name), zap.String("addr", addr),
			zap.Bool("ready", h.Ready), zap.Int64("manifest", h.Manifest))
		p.changed.Send()
	}
	if t.OnHeard != nil {
		t.OnHeard(h)
	}
}

// Changed lets all peers know what has changed.
func (t *Table) Changed() {
	t.peers.Each(func(_ string, p *peer) bool {
		p.changed.Send()
		return true
	})
}

// Live returns the peers that were heard lately, by name.
func (t *Table) Live() []Peer {
	since := t.heardSince()
	var live []Peer
	t.peers.Each(func(_ string, p *peer) bool {
		p.mu.Lock()
		if p.alive(since) {
			live = append(live, p.Peer)
		}
		p.mu.Unlock()
		return true
	})
	slices.SortFunc(live, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return live
}

// stretched returns a time of the messages for as many peers as there are.
func (t *Table) stretched(d clock.Millis) clock.Millis {
	return d * clock.Millis(max(fullPeers, t.size())) / clock.Millis(fullPeers)
}

// size returns the number of peers.
func (t *Table) size() int { return int(t.known.Load()) }

// heardSince returns the instant since which a live peer was heard.
func (t *Table) heardSince() clock.Millis { return t.Clock.Now() - t.stretched(LiveFor) }

func (p *peer) alive(since clock.Millis) bool { return p.Hello.Seq > 0 && p.At >= since }

// Count returns the number of entries that there may be, with this one: those
// that are listed or live.
func (t *Table) Count() int {
	since := t.heardSince()
	n := 1
	t.peers.Each(func(_ string, p *peer) bool {
		p.mu.Lock()
		if p.Listed || p.alive(since) {
			n++
		}
		p.mu.Unlock()
		return true
	})
	return n
}

// Silent returns the entries that the platform's table names and that were not
// heard for the time, by name.
func (t *Table) Silent(d clock.Millis) []core.Instance {
	now := t.Clock.Now()
	var silent []core.Instance
	t.peers.Each(func(_ string, p *peer) bool {
		p.mu.Lock()
		if p.Listed && now-max(p.At, p.known) > d {
			silent = append(silent, p.Instance)
		}
		p.mu.Unlock()
		return true
	})
	slices.SortFunc(silent, func(a, b core.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return silent
}

// Others returns the work that the live peers have at each upstream.
func (t *Table) Others() map[string]pool.Work {
	sum := make(map[string]pool.Work)
	since := t.heardSince()
	t.peers.Each(func(_ string, p *peer) bool {
		p.mu.Lock()
		if p.alive(since) {
			for _, l := range p.Hello.Loads {
				sum[l.Upstream] = sum[l.Upstream].Add(pool.Work{Requests: l.Requests, Tokens: l.Tokens, Held: l.Pieces})
			}
		}
		p.mu.Unlock()
		return true
	})
	return sum
}

func (t *Table) peer(addr string) *peer {
	return t.peers.Ensure(addr, func() *peer {
		t.known.Add(1)
		return &peer{addr: addr, known: t.Clock.Now()}
	})
}

// launch starts the sender of a peer, unless it runs.
func (t *Table) launch(p *peer) {
	ctx := t.ctx.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx == nil || p.sending {
		return
	}
	p.sending = true
	own, end := context.WithCancel(*ctx)
	p.end = end
	t.wg.Go(func() { t.send(own, p) })
}

// send tells one peer what this entry has to tell, until ctx ends.
func (t *Table) send(ctx context.Context, p *peer) {
	for ctx.Err() == nil {
		h := t.Hello()
		h.Seq = t.seq.Add(1)
		call, cancel := context.WithTimeout(ctx, sendTime.Std())
		err := t.Sender.Hello(call, p.addr, h)
		cancel()
		pause := t.stretched(gapLeast * clock.Millis(max(1, t.size()/gapPeers)))
		if err != nil {
			pause = failedPause
		}
		t.silent(p)
		if t.Clock.Sleep(ctx, pause) != nil {
			return
		}
		p.changed.Wait(ctx, t.Clock, t.stretched(beatEvery))
	}
}

// silent notes when a peer is no longer heard.
func (t *Table) silent(p *peer) {
	p.mu.Lock()
	gone := p.live && !p.alive(t.heardSince())
	if gone {
		p.live = false
	}
	name, at := p.Name, p.At
	p.mu.Unlock()
	if gone {
		t.log().Warn("gossip: a peer is silent", zap.String("peer", name), zap.Int64("age", int64(t.Clock.Now()-at)))
	}
}

// forget drops the peers that are neither listed nor heard.
func (t *Table) forget() {
	now := t.Clock.Now()
	var gone []string
	t.peers.Each(func(addr string, p *peer) bool {
		p.mu.Lock()
		if !p.Listed && now-max(p.At, p.known) > keptFor {
			gone = append(gone, addr)
			if p.end != nil {
				p.end()
			}
		}
		p.mu.Unlock()
		return true
	})
	for _, addr := range gone {
		t.peers.Delete(addr)
		t.known.Add(-1)
	}
}

func (t *Table) log() *zap.Logger {
	if t.Log == nil {
		return zap.NewNop()
	}
	return t.Log
}
