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

// preparePoison sets up what keeps requests that crash upstreams from others.
func (e *Entry) preparePoison() {
	e.suspects.Engines = &e.engines
	e.suspects.Boots = boots{&e.pool}
	e.suspects.Table = &e.store
	e.suspects.Clock = e.Clock
	e.suspects.Meter = &e.meter
	e.suspects.Log = e.Log
	e.suspects.OnChange = e.updates.Send
	e.suspects.Self = e.owner.String()
	e.meter.Gauge("quarantine_size", func() float64 { return float64(len(condemned(&e.suspects))) })
}

// followPoison keeps the entry's marks in step with the table.
func (e *Entry) followPoison(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error {
		e.suspects.Follow(ctx)
		return nil
	})
}

// boots takes the upstreams' boots from their reports.
type boots struct {
	pool *pool.Table
}

// Boot implements [poison.BootSource].
func (b boots) Boot(upstream string) string {
	s, _ := b.pool.Get(upstream)
	return s.Report.Boot
}

func condemned(b *poison.Quarantine) []poison.Suspect {
	var all []poison.Suspect
	for _, m := range b.Snapshot() {
		if m.Quarantined() {
			all = append(all, m)
		}
	}
	return all
}

// quarantine shows operators what is refused.
type quarantine struct {
	book *poison.Quarantine
}

// List implements [admin.Quarantine].
func (q quarantine) List(context.Context) ([]admin.Suspect, error) {
	all := []admin.Suspect{}
	for _, m := range condemned(q.book) {
		s := admin.Suspect{Digest: poison.FormatDigest(m.Digest), Until: m.Until}
		for _, c := range m.Crashes {
			s.Upstreams = append(s.Upstreams, c.Upstream)
		}
		all = append(all, s)
	}
	return all, nil
}

// Lift implements [admin.Quarantine].
func (q quarantine) Lift(ctx context.Context, digest string) error {
	n, err := strconv.ParseUint(digest, 16, 64)
	if err != nil {
		return codes.New(codes.BadRequest, "digest: want 16 hexadecimal digits")
	}
	return q.book.Lift(ctx, n)
}
