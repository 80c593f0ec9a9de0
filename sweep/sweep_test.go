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

// fakeCluster implements all interfaces of a Sweeper, with one engine.
type fakeCluster struct {
	list       []core.HeldRequest
	fail       bool
	dead       core.Owner
	unassigned bool
	cancels    []core.Cancel
}

func (f *fakeCluster) OwnerState(o core.Owner) core.InstanceState {
	if o == f.dead {
		return core.Dead
	}
	return core.Live
}
func (f *fakeCluster) Owner(string) bool { return !f.unassigned }
func (f *fakeCluster) Names() []string   { return []string{"d1"} }
func (f *fakeCluster) Upstream(name string) (core.Upstream, bool) {
	return core.Upstream{Name: name, Role: core.Decode}, true
}
func (f *fakeCluster) Running(context.Context, core.Upstream) ([]core.HeldRequest, error) {
	if f.fail {
		return nil, errors.New("down")
	}
	return f.list, nil
}
func (f *fakeCluster) Add(c core.Cancel) { f.cancels = append(f.cancels, c) }

// TestSweepCancelsOrphansAlone checks that a request is cancelled only if its
// owner stays dead for the grace period and the engine is assigned to this
// entry.
func TestSweepCancelsOrphansAlone(t *testing.T) {
	deadOwner := core.Owner{Instance: "a", Boot: 1}
	restarted := core.Owner{Instance: "a", Boot: 2}
	id := core.ID{Owner: deadOwner, Seq: 7}
	orphan := core.HeldRequest{ID: id.String(), Owner: deadOwner.String(), Attempt: 3}
	for _, c := range []struct {
		name string
		// rounds change the cluster before each sweep; the sweeps are one
		// second apart.
		rounds  []func(w *fakeCluster)
		cancels int
	}{
		{"in its first round", []func(*fakeCluster){nil}, 0},
		{"after the grace", []func(*fakeCluster){nil, nil}, 1},
		{"with an engine that is down between", []func(*fakeCluster){nil, func(w *fakeCluster) { w.fail = true }, func(w *fakeCluster) { w.fail = false }}, 1},
		{"taken over in the grace", []func(*fakeCluster){nil, func(w *fakeCluster) { w.list[0].Owner = restarted.String() }}, 0},
		{"of a live owner", []func(*fakeCluster){func(w *fakeCluster) { w.dead = core.Owner{} }, nil, nil}, 0},
		{"of a later run", []func(*fakeCluster){func(w *fakeCluster) { w.list[0].Owner = restarted.String() }, nil, nil}, 0},
		{"of no entry", []func(*fakeCluster){func(w *fakeCluster) { w.list[0].Owner = "somebody" }, nil, nil}, 0},
		{"at another entry's upstream", []func(*fakeCluster){func(w *fakeCluster) { w.unassigned = true }, nil, nil}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fake := &fakeCluster{dead: deadOwner, list: []core.HeldRequest{orphan}}
			m := &clock.Manual{}
			s := &sweep.Sweeper{Owners: fake, Assignments: fake, Upstreams: fake, Engines: fake, Cancels: fake, Clock: clock.Clock{Manual: m}}
			for _, change := range c.rounds {
				if change != nil {
					change(fake)
				}
				s.Sweep(t.Context())
				m.Advance(sweep.Interval)
			}
			is.Equal(len(fake.cancels), c.cancels)
			if c.cancels > 0 {
				is.Equal(fake.cancels[0].ID, id)
				is.Equal(fake.cancels[0].Attempt, core.Attempt(3))
			}
		})
	}
}
