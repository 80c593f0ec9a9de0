package entry

import (
	"context"
	"sort"

	"golang.org/x/sync/errgroup"

	"lacewinghook.example/lacewinghook/admin"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/drain"
	"lacewinghook.example/lacewinghook/pubdoc"
)

// documents implements [admin.Documents]: it reads and publishes versions of
// the configuration document.
type documents struct {
	e *Entry
}

// Current implements [admin.Documents].
func (d documents) Current(ctx context.Context) (*core.Document, error) {
	return d.e.publisher.Current(ctx)
}

// Publish implements [admin.Documents].
func (d documents) Publish(ctx context.Context, doc *core.Document, expected int64, by string) (int64, error) {
	return d.e.publisher.Publish(ctx, pubdoc.PublishRequest{Expected: expected, Doc: *doc, By: by})
}

// History implements [admin.Documents].
func (d documents) History(ctx context.Context, limit int) ([]admin.PublishedVersion, error) {
	published, err := d.e.publisher.History(ctx, limit)
	all := make([]admin.PublishedVersion, 0, len(published))
	for _, p := range published {
		all = append(all, admin.PublishedVersion{Version: p.Version, By: p.By, At: clock.Millis(p.At), Doc: p.Doc})
	}
	return all, err
}

// maxVersionQueries limits the concurrent heartbeats of one ActiveVersions
// call.
const maxVersionQueries = 16

// ActiveVersions implements [admin.Documents]. It exchanges a heartbeat with
// every entry; the answer contains the version of its active document.
func (d documents) ActiveVersions(ctx context.Context) []admin.ActiveVersion {
	peers := d.e.members.Peers()
	all := make([]admin.ActiveVersion, len(peers)+1)
	all[len(peers)] = admin.ActiveVersion{
		Instance: d.e.Settings.Instance, Version: d.e.document.Version(), Reached: true,
	}
	var g errgroup.Group
	g.SetLimit(maxVersionQueries)
	for i, p := range peers {
		g.Go(func() error {
			answer, err := d.e.exchangeHeartbeat(ctx, p.Instance)
			all[i] = admin.ActiveVersion{Instance: p.Instance.Name, Version: answer.Version, Reached: err == nil}
			return nil
		})
	}
	_ = g.Wait()
	sort.Slice(all, func(i, j int) bool { return all[i].Instance < all[j].Instance })
	return all
}

// drains implements [admin.Drains]: it drains and undrains upstreams,
// instances and data centres.
type drains struct {
	drains *drain.ActiveDrains
}

// Drain implements [admin.Drains].
func (d drains) Drain(ctx context.Context, kind admin.DrainKind, name, by string) error {
	return d.drains.Drain(ctx, drain.Drain{Kind: drain.TargetKind(kind), Name: name, By: by})
}

// Undrain implements [admin.Drains].
func (d drains) Undrain(ctx context.Context, kind admin.DrainKind, name string) error {
	return d.drains.Undrain(ctx, drain.TargetKind(kind), name)
}

// Drained implements [admin.Drains].
func (d drains) Drained() []admin.Drain {
	var all []admin.Drain
	for _, active := range d.drains.List() {
		all = append(all, admin.Drain{
			Kind: admin.DrainKind(active.Kind), Name: active.Name, By: active.By, At: clock.Millis(active.At),
		})
	}
	return all
}
