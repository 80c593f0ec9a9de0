package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/extsim"
)

// host is the host of all requests.
const host = "h.example"

// The shapes of requests. The routes of all but the last are in every version.
var shapes = []Shape{
	{Name: "once", Prefix: "/once/", Deadline: 14 * clock.Second},
	{Name: "safe", Prefix: "/safe/", Deadline: 14 * clock.Second, Repeatable: true},
	{Name: "verse", Prefix: "/verse/", Deadline: 14 * clock.Second, Stream: true},
	{Name: "long", Prefix: "/long/", Deadline: 14 * clock.Second, Stream: true, Repeatable: true},
	{Name: "probe", Deadline: shortDeadline, Repeatable: true, Probe: true},
}

// shortDeadline is the deadline of a short call.
const shortDeadline = 4 * clock.Second

// shapeOf returns the shape with a name.
func shapeOf(name string) Shape {
	for _, s := range shapes {
		if s.Name == name {
			return s
		}
	}
	return Shape{}
}

// keptProbes is the number of versions whose probe routes a manifest has.
const keptProbes = 6

// publish writes a new version of the manifest. Each version adds a probe route and
// withdraws the oldest, and changes timeouts, services and routes that nobody uses.
func (g *rig) publish(r *rand.Rand) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.manifest += 1 + r.IntN(3)
	g.probes = append(g.probes, g.manifest)
	withdrawn := 0
	if len(g.probes) > keptProbes {
		withdrawn, g.probes = g.probes[0], g.probes[1:]
	}
	m := extsim.Manifest{Version: g.manifest, Engines: []string{serviceVerse}, Services: []string{serviceDesk}}
	service := serviceDesk
	if r.IntN(2) == 0 {
		service = serviceClerk
	}
	if service == serviceClerk || r.IntN(2) == 0 {
		m.Services = append(m.Services, serviceClerk)
	}
	more := time.Duration(r.IntN(1000)) * time.Millisecond
	add := func(s Shape, prefix, service string, attempts int) {
		kind := "non_idempotent"
		switch {
		case s.Stream:
			kind = "streaming"
		case s.Repeatable:
			kind = "idempotent"
		}
		m.Routes = append(m.Routes, extsim.Route{
			Host: host, Prefix: prefix, Service: service, Kind: kind, Timeout: s.Deadline.Duration() + more, Attempts: attempts,
			Resumable: s.Stream && s.Repeatable,
		})
	}
	add(shapes[0], shapes[0].Prefix, serviceDesk, 1+r.IntN(2))
	add(shapes[1], shapes[1].Prefix, service, 2)
	add(shapes[2], shapes[2].Prefix, serviceVerse, 1)
	add(shapes[3], shapes[3].Prefix, serviceVerse, 2+r.IntN(2))
	for _, v := range g.probes {
		add(shapes[4], probePrefix(v), serviceDesk, 2)
	}
	for i := range r.IntN(60) {
		add(shapes[1], fmt.Sprintf("/idle%d/", i), service, 2)
	}
	g.store.Put(extsim.OperatorTable, extsim.ManifestKey, m.Text())
	g.recorder.version(g.manifest, withdrawn)
}

// probePrefix returns the prefix of the route that a version adds.
func probePrefix(version int) string { return fmt.Sprintf("/v%d/", version) }
