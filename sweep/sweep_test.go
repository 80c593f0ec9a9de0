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

// fakeCluster implements all interfaces of a Sweeper, with one engine, d1.
type fakeCluster struct {
	// list is the engine's list, which can't be read while fail is set.
	list []core.HeldRequest
	fail bool
	// dead is the only dead owner.
	dead       core.Owner
	unassigned bool
	cancels    []core.Cancel
}

// OwnerState returns Dead for the dead owner only.
func (f *fakeCluster) OwnerState(o core.Owner) core.InstanceState {
	if o == f.dead {
		return core.Dead
	}
	return core.Live
}

// IsOwner reports whether the engine is assigned to this entry.
func (f *fakeCluster) IsOwner(string) bool { return !f.unassigned }

// Names returns the name of the engine.
func (f *fakeCluster) Names() []string { return []string{"d1"} }

// Upstream returns a decode engine.
func (f *fakeCluster) Upstream(name string) (core.Upstream, bool) {
	return core.Upstream{Name: name, Role: core.Decode}, true
}

// Running returns the engine's list, or an error while fail is set.
func (f *fakeCluster) Running(context.Context, core.Upstream) ([]core.HeldRequest, error) {
	if f.fail {
		return nil, errors.New("down")
	}
	return f.list, nil
}

// Add records the cancel.
func (f *fakeCluster) Add(c core.Cancel) { f.cancels = append(f.cancels, c) }

// TestSweepCancelsOnlyOrphans checks that a request is cancelled only if its
// owner stays dead for the grace period and the engine is assigned to this
// entry.
func TestSweepCancelsOnlyOrphans(t *testing.T) {
	deadOwner := core.Owner{Instance: "a", Boot: 1}
	restarted := core.Owner{Instance: "a", Boot: 2}
	id := core.ID{Owner: deadOwner, Seq: 7}
	orphan := core.HeldRequest{ID: id.String(), Owner: deadOwner.String(), Attempt: 3}
	for _, c := range []struct {
		name string
		// rounds change the cluster before each sweep; the sweeps are one
		// second apart.
		rounds  []func(f *fakeCluster)
		cancels int
	}{
		{"first sweep", []func(*fakeCluster){nil}, 0},
		{"second sweep, after the grace period", []func(*fakeCluster){nil, nil}, 1},
		{"engine down during the second sweep", []func(*fakeCluster){nil, func(f *fakeCluster) { f.fail = true }, func(f *fakeCluster) { f.fail = false }}, 1},
		{"taken over during the grace period", []func(*fakeCluster){nil, func(f *fakeCluster) { f.list[0].Owner = restarted.String() }}, 0},
		{"owner is live", []func(*fakeCluster){func(f *fakeCluster) { f.dead = core.Owner{} }, nil, nil}, 0},
		{"owner is a later run", []func(*fakeCluster){func(f *fakeCluster) { f.list[0].Owner = restarted.String() }, nil, nil}, 0},
		{"owner is not an entry", []func(*fakeCluster){func(f *fakeCluster) { f.list[0].Owner = "somebody" }, nil, nil}, 0},
		{"upstream assigned to another entry", []func(*fakeCluster){func(f *fakeCluster) { f.unassigned = true }, nil, nil}, 0},
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
