package plain_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/plain"
	"lacewinghook.example/lacewinghook/pool"
)

// replicas simulates the replicas of one service. Attempt n ends with errs[n-1]
// after the duration.
type replicas struct {
	errs     []error
	calls    int
	now      *clock.Manual
	duration clock.Millis
}

// ReplicasByLoad, Begin and End implement [plain.Replicas].
func (r *replicas) ReplicasByLoad(string) []core.Upstream { return make([]core.Upstream, len(r.errs)) }
func (r *replicas) Begin(string, pool.Work)               {}
func (r *replicas) End(string, pool.Work)                 {}

// Call implements [plain.Services].
func (r *replicas) Call(_ context.Context, _ core.Upstream, _ core.Call, attempt core.Attempt) (core.Answer, error) {
	r.calls++
	r.now.Advance(r.duration)
	return core.Answer{Status: 200}, r.errs[attempt-1]
}

// TestTries checks the number of attempts and the outcome of a call for each
// sequence of failures.
func TestTries(t *testing.T) {
	refused := codes.New(codes.UpstreamRefused, "replica")
	lost := codes.New(codes.UpstreamLost, "replica")
	unsure := refused.WithRun(codes.Unknown)
	for _, tc := range []struct {
		name string
		errs []error
		// order selects Send, for a call that must not be repeated.
		order    bool
		duration clock.Millis
		calls    int
		run      codes.Run
	}{
		{"repeatable, first answers", []error{nil, nil}, false, 0, 1, ""},
		{"repeatable, lost and answered", []error{lost, nil}, false, 0, 2, ""},
		{"repeatable, lost and refused is unknown", []error{lost, refused}, false, 0, 2, codes.Unknown},
		{"repeatable, all refused", []error{refused, refused, refused, nil}, false, 0, 3, codes.NotRun},
		{"repeatable, deadline past", []error{lost, nil}, false, 200, 1, codes.Unknown},
		{"order, refused and answered", []error{refused, nil}, true, 0, 2, ""},
		{"order, lost is not tried again", []error{lost, nil}, true, 0, 1, codes.Unknown},
		{"order, refused with bytes sent", []error{unsure, nil}, true, 0, 1, codes.Unknown},
		{"order, deadline past", []error{refused, nil}, true, 200, 1, codes.NotRun},
		{"no replica", nil, true, 0, 0, codes.NotRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := &replicas{errs: tc.errs, now: &clock.Manual{}, duration: tc.duration}
			r.now.Advance(clock.Second)
			caller := &plain.Caller{Services: r, Replicas: r, Clock: clock.Clock{Manual: r.now}}
			call, do := core.Call{Deadline: r.now.Now() + 100}, caller.Call
			if tc.order {
				do = caller.Send
			}
			_, err := do(context.Background(), call)
			is.Equal(r.calls, tc.calls)
			is.Equal(err == nil, tc.run == "")
			if err != nil {
				is.Equal(codes.From(err).Run, tc.run)
			}
		})
	}
}
