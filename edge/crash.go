package edge

import (
	"context"
	"strconv"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// suspects judges breaks of upstreams. It implements [relay.Suspects].
type suspects struct {
	edge *Edge
}

// Times of a judgement.
const (
	// judgeTime bounds the judgement, and judgeWait how long a request waits
	// for it before it may be sent again: a connection and a refusal within
	// one region.
	judgeTime              = 1 * clock.Second
	judgeWait clock.Millis = 20
)

// Refused implements [relay.Suspects].
func (s suspects) Refused(digest uint64) bool { return s.edge.suspects.Refused(digest) }

// Broke implements [relay.Suspects].
func (s suspects) Broke(up core.Upstream, sent clock.Millis, digest uint64) {
	judged := make(chan struct{})
	go func() {
		defer close(judged)
		ctx, cancel := context.WithTimeout(context.Background(), judgeTime.Std())
		defer cancel()
		s.edge.suspects.Judge(ctx, up, s.edge.Boot(up.Name), sent, digest)
	}()
	due := make(chan struct{})
	stop := s.edge.Clock.AfterFunc(judgeWait, func() { close(due) })
	defer stop()
	select {
	case <-judged:
	case <-due:
	}
}

// Boot implements [poison.Boots]: it names the replica's present run.
func (e *Edge) Boot(name string) string {
	fleet := e.fleet.Load()
	if fleet == nil {
		return ""
	}
	for i := range fleet.Replicas {
		if r := &fleet.Replicas[i]; r.Name == name {
			return strconv.FormatInt(r.Born, 10)
		}
	}
	return ""
}
