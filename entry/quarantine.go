package entry

import (
	"context"
	"strconv"

	"golang.org/x/sync/errgroup"

	"lacewinghook.example/lacewinghook/admin"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/poison"
	"lacewinghook.example/lacewinghook/pool"
)

// prepareQuarantine sets up the quarantine, which isolates and blocks requests
// suspected of crashing upstreams.
func (e *Entry) prepareQuarantine() {
	e.quarantine.Engines = &e.engines
	e.quarantine.Boots = bootSource{&e.pool}
	e.quarantine.Table = &e.store
	e.quarantine.Clock = e.Clock
	e.quarantine.Meter = &e.meter
	e.quarantine.Log = e.Log
	e.quarantine.OnChange = e.heartbeatNow.Send
	e.quarantine.Self = e.owner.String()
	e.meter.Gauge("quarantine_size", func() float64 { return float64(len(quarantined(&e.quarantine))) })
}

// syncQuarantine starts the task that exchanges suspects with the platform's
// table until ctx ends.
func (e *Entry) syncQuarantine(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error {
		e.quarantine.Run(ctx)
		return nil
	})
}

// bootSource reads the boot ID of an upstream from its latest report.
type bootSource struct {
	pool *pool.Table
}

// Boot implements [poison.BootSource].
func (b bootSource) Boot(upstream string) string {
	s, _ := b.pool.Get(upstream)
	return s.Report.Boot
}

// quarantined returns the digests that are blocked, without mere suspects.
func quarantined(q *poison.Quarantine) []poison.Suspect {
	var all []poison.Suspect
	for _, s := range q.Snapshot() {
		if s.Quarantined() {
			all = append(all, s)
		}
	}
	return all
}

// quarantineAdmin implements [admin.Quarantine]: operators list the blocked
// digests and lift the block of one.
type quarantineAdmin struct {
	quarantine *poison.Quarantine
}

// List implements [admin.Quarantine].
func (q quarantineAdmin) List(context.Context) ([]admin.QuarantinedRequest, error) {
	all := []admin.QuarantinedRequest{}
	for _, suspect := range quarantined(q.quarantine) {
		request := admin.QuarantinedRequest{Digest: poison.FormatDigest(suspect.Digest), Until: suspect.Until}
		for _, c := range suspect.Crashes {
			request.Upstreams = append(request.Upstreams, c.Upstream)
		}
		all = append(all, request)
	}
	return all, nil
}

// Lift implements [admin.Quarantine].
func (q quarantineAdmin) Lift(ctx context.Context, digest string) error {
	n, err := strconv.ParseUint(digest, 16, 64)
	if err != nil {
		return codes.New(codes.BadRequest, "digest: want 16 hexadecimal digits")
	}
	return q.quarantine.Lift(ctx, n)
}
