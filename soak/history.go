package soak

import (
	"context"
	"slices"
	"sync"
	"time"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/extsim"
)

// History is what callers and replicas saw, and what was done to the processes. All
// instants are relative to the start of the run.
type History struct {
	Requests []Request   `json:"requests"`
	Runs     []Execution `json:"runs"`
	// Arrivals are the requests that replicas received after they had begun to leave.
	Arrivals []Arrival `json:"arrivals"`
	Outages  []Outage  `json:"outages"`
	Boots    []Boot    `json:"boots"`
	Versions []Version `json:"versions"`
	// Outstanding is what replicas gave out in calm time and never got back.
	Outstanding []Grant `json:"outstanding"`
	// Stalls are the times in which this program itself didn't get to run.
	Stalls []Stall `json:"stalls"`
	// CalmFrom is the instant from which on nothing was done, and End that of the last
	// observation.
	CalmFrom clock.Millis `json:"calm_from"`
	End      clock.Millis `json:"end"`
	// Grace is the longest time of a planned stop.
	Grace clock.Millis `json:"grace"`
}

// Shape is a kind of request.
type Shape struct {
	Name, Prefix string
	// Stream is set if the answer consists of events, Repeatable if the request may run
	// more than once, and Probe if the route belongs to one version of the manifest.
	Stream, Repeatable, Probe bool
	// Deadline is the longest one of a request, see [shortDeadline].
	Deadline clock.Millis
}

// Request is a request and its answer, as the caller saw them.
type Request struct {
	ID    string `json:"id"`
	Shape string `json:"shape"`
	Entry int    `json:"entry"`
	Boot  int    `json:"boot"`
	// Nth is the number of earlier requests on the connection.
	Nth    int    `json:"nth"`
	Target string `json:"target"`
	Digest string `json:"digest"`
	// Pace is how the answer is made.
	Pace     extsim.Pace  `json:"pace"`
	Deadline clock.Millis `json:"deadline"`
	// Version is the version of the manifest that has added the route of a probe.
	Version int `json:"version,omitempty"`
	// Left is set if the caller closed the connection before the answer.
	Left      bool `json:"left,omitempty"`
	HalfClose bool `json:"half_close,omitempty"`
	// Ahead is set if bytes of a next request follow this one, and Slow if the caller reads
	// slowly.
	Ahead     bool         `json:"ahead,omitempty"`
	Slow      bool         `json:"slow,omitempty"`
	Whole     bool         `json:"whole"`
	Sent      clock.Millis `json:"sent"`
	Ended     clock.Millis `json:"ended"`
	Received  int64        `json:"received"`
	Status    int          `json:"status"`
	Complete  bool         `json:"complete"`
	Impatient bool         `json:"impatient,omitempty"`
	Err       string       `json:"err,omitempty"`
	// Fault tells what is wrong with the answer itself, see [checkAnswer].
	Fault string `json:"fault,omitempty"`
}

// Execution is one run of a request by a replica. Ended is negative if it hasn't ended.
type Execution struct {
	ID      string       `json:"id"`
	Replica int          `json:"replica"`
	Target  string       `json:"target"`
	Digest  string       `json:"digest"`
	Begun   clock.Millis `json:"begun"`
	Ended   clock.Millis `json:"ended"`
}

// Arrival is a request that a replica received Late after it had begun to leave.
type Arrival struct {
	ID      string       `json:"id"`
	Replica int          `json:"replica"`
	At      clock.Millis `json:"at"`
	Late    clock.Millis `json:"late"`
}

// Stall is a time in which the machine let a thread wait that was ready to run.
type Stall struct {
	From clock.Millis `json:"from"`
	To   clock.Millis `json:"to"`
}

// Parameters of watchStalls.
const (
	stallInterval clock.Millis = 10
	// minStall is the shortest lateness that is recorded.
	minStall clock.Millis = 40
)

// watchStalls records stalls until ctx ends. A bound on time is widened by those that it
// includes, so that a machine that is too busy isn't taken for a slow system.
func (r *recorder) watchStalls(ctx context.Context) {
	last := r.now()
	for sleep(ctx, stallInterval) == nil {
		now := r.now()
		if now-last > stallInterval+minStall {
			r.mu.Lock()
			r.h.Stalls = append(r.h.Stalls, Stall{From: last + stallInterval, To: now})
			r.mu.Unlock()
		}
		last = now
	}
}

// Grant is a KV handle or a hold.
type Grant struct {
	Name string       `json:"name"`
	ID   string       `json:"id,omitempty"`
	At   clock.Millis `json:"at"`
}

// Outage is the time of a step. Entry and Replica are -1 if it concerns none or all.
type Outage struct {
	Kind    Kind         `json:"kind"`
	Entry   int          `json:"entry"`
	Replica int          `json:"replica"`
	From    clock.Millis `json:"from"`
	To      clock.Millis `json:"to"`
}

// Boot is one run of an entry's process.
type Boot struct {
	Entry int          `json:"entry"`
	Boot  int          `json:"boot"`
	From  clock.Millis `json:"from"`
	To    clock.Millis `json:"to"`
	// Term and Kill are the instants of SIGTERM and SIGKILL, zero without one.
	Term clock.Millis `json:"term,omitempty"`
	Kill clock.Millis `json:"kill,omitempty"`
	// Err is the process's exit status, empty for zero, and Peak its largest resident
	// memory in bytes.
	Err  string `json:"err,omitempty"`
	Peak int64  `json:"peak"`
}

// Version is a version of the manifest. It was acknowledged at the instant At, and its
// probe route withdrawn at Until, zero if it is still there.
type Version struct {
	Number int          `json:"number"`
	At     clock.Millis `json:"at"`
	Until  clock.Millis `json:"until,omitempty"`
}

// recorder collects a History.
type recorder struct {
	start time.Time

	mu sync.Mutex
	h  History
}

// since converts a wall-clock time to an instant of the run.
func (r *recorder) since(t time.Time) clock.Millis { return clock.FromDuration(t.Sub(r.start)) }

// now returns the current instant of the run.
func (r *recorder) now() clock.Millis { return r.since(time.Now()) }

// request records a request.
func (r *recorder) request(q Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.h.Requests = append(r.h.Requests, q)
}

// outage records an outage that begins now. The returned function records its end.
func (r *recorder) outage(k Kind, entry, replica int) (end func()) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.h.Outages)
	// An outage without an end lasts until the end of the run.
	r.h.Outages = append(r.h.Outages, Outage{Kind: k, Entry: entry, Replica: replica, From: now, To: never})
	return func() {
		now := r.now()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.h.Outages[n].To = now
	}
}

// never is later than every instant of a run.
const never = clock.Millis(1) << 40

// version records a version whose acknowledgement has just arrived, and that the probe
// route of an older version, if not zero, is withdrawn.
func (r *recorder) version(number, withdrawn int) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.h.Versions = append(r.h.Versions, Version{Number: number, At: now})
	for i := range r.h.Versions {
		if r.h.Versions[i].Number == withdrawn {
			r.h.Versions[i].Until = now
		}
	}
}

// recentVersions returns the versions with a probe route, and the last withdrawn one.
func (r *recorder) recentVersions() []Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	from := max(0, len(r.h.Versions)-keptProbes-1)
	return slices.Clone(r.h.Versions[from:])
}

// boot records the end of an entry's process.
func (r *recorder) boot(b Boot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.h.Boots = append(r.h.Boots, b)
}

// addRuns records what a replica saw.
func (r *recorder) addRuns(n int, sim *extsim.Replica, left time.Time) {
	for _, run := range sim.Runs() {
		ended := clock.Millis(-1)
		if !run.Ended.IsZero() {
			ended = r.since(run.Ended)
		}
		r.h.Runs = append(r.h.Runs, Execution{ID: run.ID, Replica: n, Target: run.Target, Digest: run.Digest, Begun: r.since(run.Begun), Ended: ended})
	}
	if left.IsZero() {
		return
	}
	for _, a := range sim.Arrivals() {
		if late := a.At.Sub(left); a.ID != "" && !a.Other && late > 0 {
			r.h.Arrivals = append(r.h.Arrivals, Arrival{ID: a.ID, Replica: n, At: r.since(a.At), Late: clock.FromDuration(late)})
		}
	}
}
