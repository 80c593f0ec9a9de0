package sweep_test

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/sweep"
)

// world is all that a sweeper meets.
type world struct {
	list   []core.Running
	fail   bool
	dead   core.Owner
	away   bool
	cancel []core.Cancel
}

func (w *world) Owner(o core.Owner) core.State {
	if o == w.dead {
		return core.Dead
	}
	return core.Live
}
func (w *world) Home(string) bool { return !w.away }
func (w *world) Names() []string  { return []string{"d1"} }
func (w *world) Upstream(name string) (core.Upstream, bool) {
	return core.Upstream{Name: name, Role: core.Decode}, true
}
func (w *world) Running(context.Context, core.Upstream) ([]core.Running, error) {
	if w.fail {
		return nil, errors.New("down")
	}
	return w.list, nil
}
func (w *world) Add(c core.Cancel) { w.cancel = append(w.cancel, c) }

func TestSweepCancelsOrphansAlone(t *testing.T) {
	gone := core.Owner{Instance: "a", Boot: 1}
	again := core.Owner{Instance: "a", Boot: 2}
	id := core.ID{Owner: gone, Seq: 7}
	orphan := core.Running{ID: id.String(), Owner: gone.String(), Attempt: 3}
	for _, c := range []struct {
		name string
		// rounds change the world before each round, a second apart.
		rounds  []func(w *world)
		cancels int
	}{
		{"in its first round", []func(*world){nil}, 0},
		{"after the grace", []func(*world){nil, nil}, 1},
		{"with an engine that is down between", []func(*world){nil, func(w *world) { w.fail = true }, func(w *world) { w.fail = false }}, 1},
		{"taken over in the grace", []func(*world){nil, func(w *world) { w.list[0].Owner = again.String() }}, 0},
		{"of a live owner", []func(*world){func(w *world) { w.dead = core.Owner{} }, nil, nil}, 0},
		{"of a later run", []func(*world){func(w *world) { w.list[0].Owner = again.String() }, nil, nil}, 0},
		{"of no entry", []func(*world){func(w *world) { w.list[0].Owner = "somebody" }, nil, nil}, 0},
		{"at another entry's upstream", []func(*world){func(w *world) { w.away = true }, nil, nil}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := &world{dead: gone, list: []core.Running{orphan}}
			m := &clock.Manual{}
			s := &sweep.Sweeper{Owners: w, Homes: w, Upstreams: w, Engines: w, Cancels: w, Clock: clock.Clock{Manual: m}}
			for _, change := range c.rounds {
				if change != nil {
					change(w)
				}
				s.Sweep(t.Context())
				m.Advance(sweep.Every)
			}
			is.Equal(len(w.cancel), c.cancels)
			if c.cancels > 0 {
				is.Equal(w.cancel[0].ID, id)
				is.Equal(w.cancel[0].Attempt, core.Attempt(3))
			}
		})
	}
}
