package lease_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/engine"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/trial"
)

// TestEnginesReachDesiredState checks that the engines adopt published states,
// also after the entry that held the leases has stopped.
func TestEnginesReachDesiredState(t *testing.T) {
	is := is.New(t)
	defer http.DefaultClient.CloseIdleConnections()
	set, err := trial.Start(trial.Plan{
		Entries: 2, Prefills: 1, Decodes: 1, Linger: 1,
		SetupEngine:  func(e *fake.Engine) { e.CheckFence = true },
		EditDocument: func(d *core.Document) { d.Desired = desiredStates(d, "verse") },
	})
	is.NoErr(err)
	defer set.Stop()
	waitForModel := func(model string) int64 {
		var fence int64
		for _, up := range set.Doc.Upstreams {
			ctx, cancel := context.WithTimeout(context.Background(), (20 * clock.Second).Duration())
			defer cancel()
			is.NoErr(trial.WaitUntil(ctx, func() bool {
				o, err := (&engine.Client{}).LastOrder(ctx, up)
				fence = o.Fence
				return err == nil && len(o.State.Models) == 1 && o.State.Models[0] == model
			}))
		}
		return fence
	}
	first := waitForModel("verse")
	is.True(first >= 1)
	is.NoErr(set.Entries[0].Stop())
	set.Doc.Version++
	set.Doc.Desired = desiredStates(&set.Doc, "diagnosis")
	is.NoErr(set.Publish())
	is.True(waitForModel("diagnosis") >= first)
}

// desiredStates returns a desired state with the model for each upstream.
func desiredStates(d *core.Document, model string) (all []core.Desired) {
	for _, up := range d.Upstreams {
		all = append(all, core.Desired{Upstream: up.Name, Role: up.Role, Models: []string{model}})
	}
	return all
}
