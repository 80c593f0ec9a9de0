package gossip_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/gossip"
	"lacewinghook.example/lacewinghook/notice"
	"lacewinghook.example/lacewinghook/taint"
)

// weigher delivers heartbeats and counts their bytes.
type weigher struct {
	network
	bytes atomic.Int64
}

// SendHeartbeat implements [gossip.Sender].
func (w *weigher) SendHeartbeat(ctx context.Context, addr string, h gossip.Heartbeat) error {
	data, err := json.Marshal(h)
	if err != nil {
		return err
	}
	w.bytes.Add(int64(len(data)))
	return w.network.SendHeartbeat(ctx, addr, h)
}

// TestLossOfManyEnginesDoesNotFloodEntries guards against heartbeats that take the processor
// time of all entries after the crash of many engines at once, each of which leaves
// suspects at many entries. The target for a node's control traffic is 9 KB/s.
func TestLossOfManyEnginesDoesNotFloodEntries(t *testing.T) {
	const (
		size       = 90
		engines    = 70
		losses     = 6 // requests lost with each engine
		kinds      = 3 // parts that requests share
		seconds    = 60
		maxTraffic = 9 << 10
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		names, list := entries(size)
		w := &weigher{network: network{tables: map[string]*gossip.Table{}, cut: map[string]bool{}, sentTo: map[string]int{}, sentFrom: map[string]int{}}}
		ctx, stop := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		defer func() { stop(); wait.Wait() }()
		parts, whole, notices := make([]*taint.Table, size), make([]*taint.Table, size), make([]*notice.Table, size)
		var replicas []core.Replica
		for e := range engines {
			replicas = append(replicas, core.Replica{Upstream: core.Upstream{Name: fmt.Sprintf("i-%010x", e), Addr: "10.1.64.30:8067"}, Incarnation: 1782375916285})
		}
		for i, name := range names {
			parts[i] = &taint.Table{Self: name}
			whole[i] = &taint.Table{Self: name, Whole: true, Parts: parts[i]}
			g := &gossip.Table{Sender: w, Self: name}
			tainted := &taint.Spread{Table: parts[i], Trigger: g.Trigger}
			requests := &taint.Spread{Table: whole[i], Trigger: g.Trigger}
			parts[i].OnChange, whole[i].OnChange = tainted.Announce, requests.Announce
			notices[i] = &notice.Table{Self: name, Drain: 4 * clock.Second, OnLeaving: g.Trigger}
			notices[i].Apply(replicas)
			g.Heartbeat = func() gossip.Heartbeat {
				return gossip.Heartbeat{Instance: list[i], Boot: uint64(i + 1), Ready: true, Refused: notices[i].Refused(true)}
			}
			g.Extend = func(peer string, h *gossip.Heartbeat) {
				h.Leaving = notices[i].WordsFor(peer, true)
				h.Tainted, h.TaintSum = tainted.News(peer)
				h.Requests, h.RequestSum = requests.News(peer)
			}
			g.Unsent = func(peer string) { notices[i].Unsent(peer); tainted.Unsent(peer); requests.Unsent(peer) }
			g.Forget = func(peer string) { notices[i].ForgetPeer(peer); tainted.Forget(peer); requests.Forget(peer) }
			g.OnHeartbeat = func(h gossip.Heartbeat) {
				tainted.Handle(h.Instance.Peer, h.Tainted, h.TaintSum)
				requests.Handle(h.Instance.Peer, h.Requests, h.RequestSum)
				notices[i].HandleRefused(h.Refused)
				if notices[i].HandleWords(h.Leaving) {
					g.Trigger()
				}
			}
			w.tables[name] = g
		}
		for _, name := range names {
			w.tables[name].Merge(list)
			wait.Go(func() { w.tables[name].Run(ctx) })
		}
		time.Sleep(5 * time.Second)
		before := w.bytes.Load()
		r := rand.New(rand.NewPCG(1, 2))
		for e := range engines {
			for n := range losses {
				at := r.IntN(size)
				digest := uint64(e*losses+n)*0x9e3779b97f4a7c15 + 1
				delay := time.Duration(r.IntN(300)) * time.Millisecond
				wait.Go(func() {
					time.Sleep(delay)
					l := taint.Loss{Upstream: replicas[e].Name, Boot: "1782375916285", Digest: digest, Parts: []uint64{0x9c41d07be2a35f68 + uint64(n%kinds)}}
					parts[at].AddCrash(l)
					l.Parts = []uint64{digest}
					whole[at].AddCrash(l)
					notices[at].OnNotice(replicas[e].Upstream, core.ReplicaNotice{Sent: clock.Clock{}.Now(), Refused: true})
					time.Sleep(2 * time.Second)
					notices[at].OnNotice(replicas[e].Upstream, core.ReplicaNotice{Sent: clock.Clock{}.Now(), Other: "i-new"})
				})
			}
		}
		time.Sleep(10 * time.Second)
		for i := range size {
			for _, replica := range replicas {
				is.True(notices[i].Status(replica.Name).Leaving)
			}
		}
		time.Sleep((seconds - 10) * time.Second)
		traffic := (w.bytes.Load() - before) / size / seconds
		t.Logf("each of %d entries received %d bytes a second for %d s", size, traffic, seconds)
		for i := range size {
			is.Equal(parts[i].Sum(), parts[0].Sum())
			is.Equal(whole[i].Sum(), whole[0].Sum())
		}
		is.True(traffic <= maxTraffic)
	})
}
