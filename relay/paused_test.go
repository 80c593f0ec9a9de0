package relay_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/notice"
	"lacewinghook.example/lacewinghook/relay"
)

// newNotices returns a table of notices for the engines of newRelay.
func newNotices() *notice.Table {
	t := &notice.Table{Self: "edge-1"}
	var list []core.Replica
	for _, name := range []string{"p-0", "p-1", "g-0", "g-1"} {
		list = append(list, core.Replica{Upstream: core.Upstream{Name: name}, Incarnation: 1})
	}
	t.Apply(list)
	return t
}

// pause makes an engine ask for a pause.
func pause(t *notice.Table, name string, d clock.Millis) {
	t.OnNotice(core.Upstream{Name: name}, core.ReplicaNotice{Sent: clock.Clock{}.Now(), Pause: d})
}

// TestPauseDuringPrefill guards against a send to a decode engine that asked for a pause
// after it was selected.
func TestPauseDuringPrefill(t *testing.T) {
	is := is.New(t)
	u := &upstreams{}
	r, table := newRelay(u, &budget{retriesLeft: 99})
	reserveMemory(table, 10)
	n := newNotices()
	r.Notices = n
	u.prefill = func(core.Upstream) (core.Export, error) {
		pause(n, "g-0", 30*clock.Second)
		return core.Export{Params: json.RawMessage("kv")}, nil
	}
	for range 8 {
		is.NoErr(r.Run(context.Background(), request(r, core.HostRoute{}), &sink{}))
	}
	is.True(!strings.Contains(u.callList(), "send g-0"))
	is.True(strings.Contains(u.callList(), "send g-1"))
}

// TestNoCallDuringPauses guards against calls of any kind to paused engines, those that
// release resources included.
func TestNoCallDuringPauses(t *testing.T) {
	is := is.New(t)
	u := &upstreams{}
	r, table := newRelay(u, &budget{retriesLeft: 99})
	reserveMemory(table, 10)
	n := newNotices()
	r.Notices = n
	u.prefill = func(core.Upstream) (core.Export, error) {
		for _, name := range []string{"p-0", "p-1", "g-0", "g-1"} {
			pause(n, name, 30*clock.Second)
		}
		return core.Export{Params: json.RawMessage("kv")}, nil
	}
	err := r.Run(context.Background(), request(r, core.HostRoute{}), &sink{})
	e := codes.From(err)
	is.Equal(e.Run, codes.NotRun)
	is.True(e.RetryAfter > 29*clock.Second)
	is.True(e.RetryAfter < 31*clock.Second)
	returns := map[clock.Millis]bool{}
	for range 10 {
		err := r.Run(context.Background(), request(r, core.HostRoute{}), &sink{})
		is.True(codes.Has(err, codes.NoUpstream))
		is.Equal(codes.From(err).Run, codes.NotRun)
		returns[codes.From(err).RetryAfter] = true
	}
	is.True(len(returns) > 5) // callers don't return together
	calls := u.callList()
	is.Equal(strings.Count(calls, "prefill"), 1)
	for _, call := range []string{"send", "free", "drop"} {
		is.True(!strings.Contains(calls, call))
	}
}

// TestWaitsForShortPause checks that a request waits for the end of a pause that lies
// within its latency target.
func TestWaitsForShortPause(t *testing.T) {
	is := is.New(t)
	u := &upstreams{}
	r, _ := newRelay(u, &budget{retriesLeft: 99})
	n := newNotices()
	r.Notices = n
	start := r.Clock.Now()
	pause(n, "g-0", 200)
	until := n.Status("g-0").PausedUntil
	is.True(until-start >= 200)
	pause(n, "g-1", 30*clock.Second)
	var sent clock.Millis
	u.send = func(core.Upstream, relay.SendRequest) (relay.Answer, error) {
		sent = r.Clock.Now()
		return okAnswer("id: 1\ndata: a\n\n"), nil
	}
	is.NoErr(r.Run(context.Background(), request(r, core.HostRoute{}), &sink{}))
	is.True(sent >= until)
	is.True(!strings.Contains(u.callList(), "g-1"))
}

// TestRetriesKeepToPauses guards against a retry at an engine that has asked for a pause
// while the request had no other one left.
func TestRetriesKeepToPauses(t *testing.T) {
	is := is.New(t)
	u := &upstreams{}
	r, _ := newRelay(u, &budget{retriesLeft: 99})
	n := newNotices()
	r.Notices = n
	u.send = func(up core.Upstream, _ relay.SendRequest) (relay.Answer, error) {
		pause(n, up.Name, 30*clock.Second)
		return relay.Answer{}, codes.New(codes.UpstreamRefused, "%s: not run, status 503", up.Name)
	}
	route := core.HostRoute{Resumable: true, Repeatable: true, Profile: core.Profile{Retries: 9}}
	err := r.Run(context.Background(), request(r, route), &sink{})
	is.Equal(codes.From(err).Run, codes.NotRun)
	for _, name := range []string{"g-0", "g-1"} {
		is.Equal(strings.Count(u.callList(), "send "+name), 1)
	}
}
