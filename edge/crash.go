package edge

import (
	"context"
	"strconv"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
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
func (d crashDetector) Check(r *core.Request) error {
	if d.edge.quarantine.Quarantined(r.Digest) {
		return codes.New(codes.Quarantined, "request %s", r.Opaque.ID)
	}
	if part, left, ok := d.edge.tainted.Quarantined(r.Opaque.Parts); ok {
		return codes.New(codes.PartQuarantined, "part %s", taint.FormatPart(part)).WithRetryAfter(left)
	}
	return nil
}

// Mark implements [relay.Quarantine].
func (d crashDetector) Mark() uint64 { return d.edge.tainted.Mark() }

// ReportAnswered implements [relay.Quarantine].
func (d crashDetector) ReportAnswered(r *core.Request) { d.edge.tainted.Clear(r.Opaque.Parts) }

// ReportLost implements [relay.Quarantine]. It starts the crash check and waits for
// its end for at most maxCrashWait.
func (d crashDetector) ReportLost(l relay.Loss) {
	decided := make(chan struct{})
	go func() {
		defer close(decided)
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout.Duration())
		defer cancel()
		e, up, boot := d.edge, l.Upstream, d.edge.Boot(l.Upstream.Name)
		if !e.quarantine.Crashed(ctx, up, boot) {
			return
		}
		if !l.Answered {
			e.tainted.AddCrash(taint.Loss{Upstream: up.Name, Boot: boot, Digest: l.Request.Digest, Parts: l.Request.Opaque.Parts, Mark: l.Mark})
		}
		e.quarantine.AddCrash(ctx, up, boot, l.SentAt, l.Request.Digest)
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
