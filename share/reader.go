package share

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/home"
	"lacewinghook.example/lacewinghook/pool"
)

// Members gives the entries that are alive, this one among them.
type Members interface {
	Live() []core.Instance
}

// Upstreams is what is known of the upstreams.
type Upstreams interface {
	Names() []string
	Get(name string) (pool.State, bool)
	Report(r core.Report)
}

// Engines reads an engine's report.
type Engines interface {
	Load(ctx context.Context, up core.Upstream) (core.Report, error)
}

// Peers passes reports on to another entry.
type Peers interface {
	Share(ctx context.Context, addr string, reports []core.Report) error
}

// Reader reads the reports of the engines whose home this entry is, and
// passes them on. All fields but Clock and Every are needed.
type Reader struct {
	Self      string
	Members   Members
	Upstreams Upstreams
	Engines   Engines
	Peers     Peers
	Clock     clock.Clock
	// Every is the time between two readings; zero is a second.
	Every clock.Millis
	// OnChange, if not nil, is called after reports were taken over.
	OnChange func()
}

const (
	defaultEvery = 1 * clock.Second
	// readTimeout bounds the reading of one engine.
	readTimeout = 1 * clock.Second
	// atOnce bounds the calls under way.
	atOnce = 32
)

// Run reads and passes on until ctx ends. A round that takes long delays the
// next one.
func (r *Reader) Run(ctx context.Context) {
	every := r.Every
	if every == 0 {
		every = defaultEvery
	}
	r.round(ctx)
	r.Clock.Every(ctx, every, r.round)
}

func (r *Reader) round(ctx context.Context) {
	live := r.Members.Live()
	reports := r.read(ctx, r.own(live))
	if len(reports) > 0 {
		r.updates()
		r.pass(ctx, live, reports)
	}
}

func (r *Reader) updates() {
	if r.OnChange != nil {
		r.OnChange()
	}
}

// own returns the engines whose home this entry is. Without any live entry,
// itself included, it reads them all.
func (r *Reader) own(live []core.Instance) []core.Upstream {
	var ups []core.Upstream
	for _, name := range r.Upstreams.Names() {
		if h := home.Of(name, live); h != r.Self && h != "" {
			continue
		}
		if s, ok := r.Upstreams.Get(name); ok && s.Upstream.Role != core.Service {
			ups = append(ups, s.Upstream)
		}
	}
	return ups
}

// read reads the engines beside each other; one that doesn't answer is left
// out.
func (r *Reader) read(ctx context.Context, ups []core.Upstream) []core.Report {
	var mu sync.Mutex
	var reports []core.Report
	var g errgroup.Group
	g.SetLimit(atOnce)
	for _, up := range ups {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, readTimeout.Std())
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

// pass sends the reports to every other live entry. One that can't be reached
// reads on from the next round's.
func (r *Reader) pass(ctx context.Context, live []core.Instance, reports []core.Report) {
	var g errgroup.Group
	g.SetLimit(atOnce)
	for _, in := range live {
		if in.Name == r.Self {
			continue
		}
		g.Go(func() error {
			_ = r.Peers.Share(ctx, in.Peer, reports)
			return nil
		})
	}
	_ = g.Wait()
}

// Take takes over reports that another entry passed on.
func (r *Reader) Take(reports []core.Report) {
	for _, report := range reports {
		r.Upstreams.Report(report)
	}
	r.updates()
}
