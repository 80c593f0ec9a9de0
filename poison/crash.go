package poison

import (
	"context"
	"fmt"
	"slices"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// Boot returns the last known boot of the upstream; empty if unknown.
func (q *Quarantine) Boot(upstream string) string {
	if q.Boots == nil {
		return ""
	}
	return q.Boots.Boot(upstream)
}

// Times of a crash check.
const (
	// probeTimeout bounds the check whether an upstream is still running, and
	// probeInterval is the time between two probes. It is short, since a dying
	// process closes its sockets within milliseconds.
	probeTimeout               = 1 * clock.Second
	probeInterval clock.Millis = 20
	// propagationDelay is how long the rejection of a quarantined request is
	// delayed. By then every entry that reads the table or receives this
	// entry's heartbeats has the quarantine.
	propagationDelay = PollInterval + PollInterval/2
)

// CheckCrashAndWait is [Quarantine.CheckCrash]. If the digest is then in
// quarantine, it also waits until every entry has the quarantine, so that the
// caller cannot send the request to another entry in the meantime.
func (q *Quarantine) CheckCrashAndWait(ctx context.Context, up core.Upstream, boot string, admitted clock.Millis, digest uint64) {
	if q.CheckCrash(ctx, up, boot, admitted, digest) {
		_ = q.Clock.Sleep(ctx, propagationDelay)
	}
}

// CheckCrash checks whether the upstream, whose connection broke while it ran
// the digest, has crashed, and if so makes the digest a suspect. boot is the
// boot of the upstream at the time of the call, and admitted the time before
// [Quarantine.Isolate] was called for this run. CheckCrash reports whether this
// crash puts or keeps the digest in quarantine. It returns after the crash is
// saved in the table or the table has failed to respond.
func (q *Quarantine) CheckCrash(ctx context.Context, up core.Upstream, boot string, admitted clock.Millis, digest uint64) bool {
	switch q.probe(ctx, up, boot) {
	case noCrash:
		return false
	case restarted:
		if q.crashSeenBefore(up, boot, admitted, digest) {
			return false
		}
	}
	return q.AddCrash(ctx, up, boot, admitted, digest)
}

// crashSeenBefore reports whether the digest already has the crash of this boot, detected
// before the run was admitted. The run was then on a later boot, which was not known yet.
func (q *Quarantine) crashSeenBefore(up core.Upstream, boot string, admitted clock.Millis, digest uint64) bool {
	s, _ := q.lookup(digest)
	at := q.wall() - (q.Clock.Now() - admitted)
	return slices.ContainsFunc(s.Crashes, func(c Crash) bool {
		return c.Upstream == up.Name && c.Boot == boot && c.SeenAt <= at
	})
}

// AddCrash records that the upstream, with the given boot, has crashed while it ran the
// digest since admitted. It returns like [Quarantine.CheckCrash].
func (q *Quarantine) AddCrash(ctx context.Context, up core.Upstream, boot string, admitted clock.Millis, digest uint64) bool {
	at := q.wall()
	crash := Crash{Upstream: up.Name, Boot: boot, SentAt: at - (q.Clock.Now() - admitted), SeenAt: at}
	s := q.addLocal(Suspect{Digest: digest, Crashes: []Crash{crash}, Until: at + suspectTTL})
	q.Meter.Add("suspects_total", 1, "upstream", up.Name)
	if q.OnChange != nil {
		q.OnChange()
	}
	q.save(ctx, s)
	s, _ = q.lookup(digest)
	q.logCrash(s, up)
	if s.Quarantined() {
		q.Meter.Add("quarantined_total", 1)
	}
	return s.Quarantined()
}

// Crashed reports whether the upstream refuses connections or has restarted.
func (q *Quarantine) Crashed(ctx context.Context, up core.Upstream, boot string) bool {
	return q.probe(ctx, up, boot) != noCrash
}

// probeResult is what a probe of an upstream shows.
type probeResult int

// The results of a probe: no sign of a crash, refused connections, and another boot that
// answers.
const (
	noCrash probeResult = iota
	refused
	restarted
)

// probe checks whether an upstream still runs. One that is unreachable in another way
// than by refused connections may only be partitioned from this entry, which does not
// implicate the request. A probe whose connection breaks is repeated: the dying process
// may have accepted it.
func (q *Quarantine) probe(ctx context.Context, up core.Upstream, boot string) probeResult {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout.Duration())
	defer cancel()
	for {
		report, err := q.Engines.Load(ctx, up)
		switch {
		case err == nil:
			if boot != "" && report.Boot != "" && report.Boot != boot {
				return restarted
			}
			return noCrash
		case !codes.Has(err, codes.UpstreamLost):
			if codes.Has(err, codes.UpstreamRefused) && codes.From(err).Run == codes.NotRun {
				return refused
			}
			return noCrash
		}
		if q.Clock.Sleep(ctx, probeInterval) != nil {
			return noCrash
		}
	}
}

// logCrash logs a crash and whether the digest is now in quarantine.
func (q *Quarantine) logCrash(s Suspect, up core.Upstream) {
	if q.Log == nil {
		return
	}
	q.Log.Warn("poison: upstream crashed while running a request", zap.String("upstream", up.Name),
		zap.String("digest", FormatDigest(s.Digest)), zap.Int("crashes", len(s.Crashes)),
		zap.Bool("quarantined", s.Quarantined()))
}

// FormatDigest returns the hexadecimal form of a digest that operators see.
func FormatDigest(digest uint64) string { return fmt.Sprintf("%016x", digest) }
