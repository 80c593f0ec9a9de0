package edge

import (
	"context"
	"strconv"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/poison"
	"lacewinghook.example/lacewinghook/relay"
	"lacewinghook.example/lacewinghook/taint"
)

// crashDetector implements [relay.Quarantine]. It checks whether an upstream crashed
// while it ran a request, so that requests that crash upstreams are quarantined.
type crashDetector struct {
	edge *Edge
}

// Timeouts of a crash check.
const (
	// crashCheckTimeout bounds the check. maxCrashWait bounds how long a retry of
	// the request waits for it: long enough for a connection to be refused
	// within one region.
	crashCheckTimeout              = 1 * clock.Second
	maxCrashWait      clock.Millis = 20
)

// Check implements [relay.Quarantine].
func (d crashDetector) Check(ctx context.Context, r *core.Request) error {
	if err := d.edge.requests.check(ctx, r.Opaque.ID, []uint64{r.Digest}, codes.Quarantined, &r.Trials.Whole); err != nil {
		return err
	}
	return d.edge.tainted.check(ctx, r.Opaque.ID, r.Opaque.Parts, codes.PartQuarantined, &r.Trials.Parts)
}

// Mark implements [relay.Quarantine].
func (d crashDetector) Mark() relay.Mark {
	return relay.Mark{Parts: d.edge.tainted.Mark(), Request: d.edge.requests.Mark()}
}

// ReportAnswered implements [relay.Quarantine].
func (d crashDetector) ReportAnswered(r *core.Request) { d.edge.tainted.Clear(r.Opaque.Parts) }

// ReportCompleted implements [relay.Quarantine].
func (d crashDetector) ReportCompleted(r *core.Request) { d.edge.requests.Clear([]uint64{r.Digest}) }

// ReportLost implements [relay.Quarantine]. It starts the crash check and waits for
// its end for at most maxCrashWait. A retry needs another permit.
func (d crashDetector) ReportLost(l relay.Loss) {
	l.Request.Trials = core.Trials{}
	decided := make(chan struct{})
	go func() {
		defer close(decided)
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout.Duration())
		defer cancel()
		e, up, boot := d.edge, l.Upstream, d.edge.Boot(l.Upstream.Name)
		if !e.crashes.Crashed(ctx, up, boot) {
			return
		}
		e.Log.Warn("edge: upstream crashed while running a request", zap.String("upstream", up.Name), zap.String("boot", boot),
			zap.String("request", l.Request.Opaque.ID), zap.String("digest", poison.FormatDigest(l.Request.Digest)), zap.Bool("answered", l.Answered))
		e.meter.Add("suspects_total", 1, "upstream", up.Name)
		loss := taint.Loss{Upstream: up.Name, Boot: boot, Digest: l.Request.Digest}
		if !l.Answered {
			loss.Parts, loss.Mark = l.Request.Opaque.Parts, l.Mark.Parts
			e.tainted.AddCrash(loss)
		}
		loss.Parts, loss.Mark = []uint64{l.Request.Digest}, l.Mark.Request
		e.requests.AddCrash(loss)
	}()
	timeUp := make(chan struct{})
	stop := d.edge.Clock.AfterFunc(maxCrashWait, func() { close(timeUp) })
	defer stop()
	select {
	case <-decided:
	case <-timeUp:
	}
}

// Boot implements [poison.BootSource]. It returns the incarnation of the replica,
// which changes with each start, or "" if the replica isn't listed.
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
