package edge

import (
	"context"
	"strconv"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// crashJudge decides whether an upstream crashed while it ran a request, so
// that requests that crash engines are quarantined. It implements
// [relay.Quarantine].
type crashJudge struct {
	edge *Edge
}

// Timeouts of a decision.
const (
	// judgeTimeout bounds the decision. judgeWait, in milliseconds, bounds how
	// long a retry of the request waits for it: enough for a connection to be
	// refused within one region.
	judgeTimeout              = 1 * clock.Second
	judgeWait    clock.Millis = 20
)

// Quarantined implements [relay.Suspects].
func (j crashJudge) Quarantined(digest uint64) bool { return j.edge.suspects.Quarantined(digest) }

// ReportLost implements [relay.Suspects]. It starts the decision and waits for it
// for at most judgeWait.
func (j crashJudge) ReportLost(up core.Upstream, sent clock.Millis, digest uint64) {
	judged := make(chan struct{})
	go func() {
		defer close(judged)
		ctx, cancel := context.WithTimeout(context.Background(), judgeTimeout.Duration())
		defer cancel()
		j.edge.suspects.CheckCrash(ctx, up, j.edge.Boot(up.Name), sent, digest)
	}()
	due := make(chan struct{})
	stop := j.edge.Clock.AfterFunc(judgeWait, func() { close(due) })
	defer stop()
	select {
	case <-judged:
	case <-due:
	}
}

// Boot implements [poison.BootSource]. It returns an identifier of the replica's
// current run, or "" if the replica isn't listed.
func (e *Edge) Boot(name string) string {
	fleet := e.fleet.Load()
	if fleet == nil {
		return ""
	}
	for i := range fleet.Replicas {
		if r := &fleet.Replicas[i]; r.Name == name {
			return strconv.FormatInt(r.Incarnation, 10)
		}
	}
	return ""
}
