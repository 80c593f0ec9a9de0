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

// documents implements [admin.Documents].
type documents struct {
	e *Entry
}

// Current implements [admin.Documents].
func (d documents) Current(ctx context.Context) (*core.Document, error) {
	return d.e.desk.Current(ctx)
}

// Publish implements [admin.Documents].
func (d documents) Publish(ctx context.Context, doc *core.Document, expected int64, by string) (int64, error) {
	return d.e.desk.Publish(ctx, pubdoc.PublishRequest{Expected: expected, Doc: *doc, By: by})
}

// History implements [admin.Documents].
func (d documents) History(ctx context.Context, limit int) ([]admin.Version, error) {
	past, err := d.e.desk.History(ctx, limit)
	all := make([]admin.Version, 0, len(past))
	for _, p := range past {
		all = append(all, admin.Version{Version: p.Version, By: p.By, At: clock.Millis(p.At), Doc: p.Doc})
	}
	return all, err
}

// maxAsking bounds the entries that are asked at once who has confirmed.
const maxAsking = 16

// Confirmed implements [admin.Documents]: it asks every entry for the version
// that it has in force.
func (d documents) Confirmed(ctx context.Context) []admin.Confirmation {
	peers := d.e.members.Peers()
	all := make([]admin.Confirmation, len(peers)+1)
	all[len(peers)] = admin.Confirmation{
		Instance: d.e.Settings.Instance, Version: d.e.book.Version(), Reached: true,
	}
	var g errgroup.Group
	g.SetLimit(maxAsking)
	for i, p := range peers {
		g.Go(func() error {
			b, err := d.e.beatOne(ctx, p.Instance)
			all[i] = admin.Confirmation{Instance: p.Instance.Name, Version: b.Version, Reached: err == nil}
			return nil
		})
	}
	_ = g.Wait()
	sort.Slice(all, func(i, j int) bool { return all[i].Instance < all[j].Instance })
	return all
}

// drains implements [admin.Drains].
type drains struct {
	book *drain.Book
}

// Drain implements [admin.Drains].
func (d drains) Drain(ctx context.Context, kind admin.Kind, name, by string) error {
	return d.book.Drain(ctx, drain.Drain{Kind: drain.Kind(kind), Name: name, By: by})
}

// Undrain implements [admin.Drains].
func (d drains) Undrain(ctx context.Context, kind admin.Kind, name string) error {
	return d.book.Undrain(ctx, drain.Kind(kind), name)
}

// Drained implements [admin.Drains].
func (d drains) Drained() []admin.Drain {
	var all []admin.Drain
	for _, one := range d.book.List() {
		all = append(all, admin.Drain{
			Kind: admin.Kind(one.Kind), Name: one.Name, By: one.By, At: clock.Millis(one.At),
		})
	}
	return all
}
