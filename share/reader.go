package share

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"lacewinghook.example/lacewinghook/assign"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pool"
)

// Members returns the entries, including this one.
type Members interface {
	// Live returns those that accept new work. They own the engines.
	Live() []core.Instance
	// Running returns also those that are leaving.
	Running() []core.Instance
}

// Upstreams returns and updates the state of the upstreams.
type Upstreams interface {
	Names() []string
	Get(name string) (pool.UpstreamState, bool)
	Report(r core.Report)
}

// Engines reads an engine's load report.
type Engines interface {
	Load(ctx context.Context, up core.Upstream) (core.Report, error)
}

// Peers sends reports to another entry.
type Peers interface {
	SendReports(ctx context.Context, addr string, reports []core.Report) error
}

// Reader reads the reports of the engines that this entry owns, and sends them
// to the other entries. All fields but Clock, Interval and OnChange are
// required.
type Reader struct {
	Self      string
	Members   Members
	Upstreams Upstreams
	Engines   Engines
	Peers     Peers
	Clock     clock.Clock
	// Interval is the interval between reads; zero means one second.
	Interval clock.Millis
	// OnChange, if not nil, is called after reports were applied.
	OnChange func()
}

// Interval and limits of the reads.
const (
	defaultInterval = 1 * clock.Second
	// readTimeout bounds the read of one engine.
	readTimeout = 1 * clock.Second
	// maxConcurrent bounds the concurrent calls, both to engines and to
	// entries.
	maxConcurrent = 32
)

// Run reads and distributes reports until ctx ends. A slow round delays the
// next one.
func (r *Reader) Run(ctx context.Context) {
	interval := r.Interval
	if interval == 0 {
		interval = defaultInterval
	}
	r.round(ctx)
	r.Clock.Every(ctx, interval, r.round)
}

// round reads the owned engines once and distributes their reports.
func (r *Reader) round(ctx context.Context) {
	live := r.Members.Live()
	reports := r.readReports(ctx, r.ownedEngines(live))
	if len(reports) > 0 {
		r.notifyChange()
		r.forward(ctx, reports)
	}
}

// notifyChange calls OnChange.
func (r *Reader) notifyChange() {
	if r.OnChange != nil {
		r.OnChange()
	}
}

// ownedEngines returns the engines that this entry owns. If no entry is live,
// this one included, it returns all.
func (r *Reader) ownedEngines(live []core.Instance) []core.Upstream {
	var ups []core.Upstream
	for _, name := range r.Upstreams.Names() {
		if owner := assign.Owner(name, live); owner != r.Self && owner != "" {
			continue
		}
		if s, ok := r.Upstreams.Get(name); ok && s.Upstream.Role != core.Service {
			ups = append(ups, s.Upstream)
		}
	}
	return ups
}

// readReports reads the engines concurrently and returns their reports. An
// engine that doesn't respond is omitted.
func (r *Reader) readReports(ctx context.Context, ups []core.Upstream) []core.Report {
	var mu sync.Mutex
	var reports []core.Report
	var g errgroup.Group
	g.SetLimit(maxConcurrent)
	for _, up := range ups {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
			defer cancel()
			report, err := r.Engines.Load(ctx, up)
			if err != nil {
				return nil
			}
			r.Upstreams.Report(report)
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, report)
			return nil
		})
	}
	// The functions return no error.
	_ = g.Wait()
	return reports
}

// forward sends the reports to every other entry, also to leaving ones, which place
// their waiting requests by them. An entry that can't be reached receives the reports
// of the next round.
func (r *Reader) forward(ctx context.Context, reports []core.Report) {
	var g errgroup.Group
	g.SetLimit(maxConcurrent)
	for _, in := range r.Members.Running() {
		if in.Name == r.Self {
			continue
		}
		g.Go(func() error {
			_ = r.Peers.SendReports(ctx, in.Peer, reports)
			return nil
		})
	}
	_ = g.Wait()
}

// ApplyReports applies reports received from another entry.
func (r *Reader) ApplyReports(reports []core.Report) {
	for _, report := range reports {
		r.Upstreams.Report(report)
	}
	r.notifyChange()
}
