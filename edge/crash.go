package edge

import (
	"context"
	"strconv"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
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

// Quarantined implements [relay.Quarantine].
func (d crashDetector) Quarantined(digest uint64) bool { return d.edge.quarantine.Quarantined(digest) }

// ReportLost implements [relay.Quarantine]. It starts the crash check and waits for
// its end for at most maxCrashWait.
func (d crashDetector) ReportLost(up core.Upstream, sent clock.Millis, digest uint64) {
	decided := make(chan struct{})
	go func() {
		defer close(decided)
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout.Duration())
		defer cancel()
		d.edge.quarantine.CheckCrash(ctx, up, d.edge.Boot(up.Name), sent, digest)
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
