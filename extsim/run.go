package extsim

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Run is one execution of a request by a [Replica].
type Run struct {
	ID string
	// Target is the path and query, and Digest the [BodyDigest] of the request; both
	// are empty for a run by a [Script].
	Target, Digest string
	Begun          time.Time
	// Ended is zero while the run goes on.
	Ended time.Time
}

// Pace is how the answer to one request is made. Zero fields mean those of the [Replica].
type Pace struct {
	// Events is the number of events of a stream, and Interval the time between two.
	Events   int           `json:"events,omitempty"`
	Interval time.Duration `json:"interval,omitempty"`
	// Silent lists the events after which the replica is silent for [Replica.Silence].
	Silent []int `json:"silent,omitempty"`
	// Parts is how often the answer of a plain service repeats [Replica.Body].
	Parts int `json:"parts,omitempty"`
}

// paceOf returns how the stream of the request with this ID is made.
func (r *Replica) paceOf(id string) Pace {
	var p Pace
	if r.Pace != nil {
		p = r.Pace(id)
	}
	if p.Events == 0 {
		p.Events = r.EventCount
	}
	if p.Interval == 0 {
		p.Interval = r.EventInterval
	}
	return p
}

// Running returns the number of executions that have not ended.
func (r *Replica) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, run := range r.runLog {
		if run.Ended.IsZero() {
			n++
		}
	}
	return n
}

// Grant is a KV handle or a hold that a [Replica] has given out.
type Grant struct {
	// Name is the address and handle or the replica and hold, ID the request of a handle.
	Name, ID string
	At       time.Time
}

// Runs returns the executions so far, in the order in which they began.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runLog...)
}

// countRun counts an execution of the request with this ID and returns its index.
func (r *Replica) countRun(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.executedIDs = append(r.executedIDs, id)
	r.runLog = append(r.runLog, Run{ID: id, Begun: time.Now()})
	return len(r.runLog) - 1
}

// describeRun records what the n-th run executes.
func (r *Replica) describeRun(n int, target, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runLog[n].Target, r.runLog[n].Digest = target, BodyDigest(body)
}

// endRun records the end of the n-th run.
func (r *Replica) endRun(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runLog[n].Ended = time.Now()
}

// work waits for d. It returns false if the caller disconnects or the replica stops
// meanwhile.
func (r *Replica) work(hr *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-r.stopped:
		panic(http.ErrAbortHandler)
	case <-hr.Context().Done():
		r.mu.Lock()
		r.canceledRuns++
		r.mu.Unlock()
		return false
	}
}

// holdName returns the name of a hold at this replica.
func (r *Replica) holdName(hold string) string { return r.ID + "/" + hold }

// recordReturns records the KV handles and holds that a request uses or releases. The
// caller holds the lock.
func (r *Replica) recordReturns(hr *http.Request) {
	if source := hr.Header.Get("Lacewinghook-Kv-Source"); source != "" {
		r.returned[source] = true
	}
	if hold := hr.Header.Get("Lacewinghook-Kv-Retain"); hold != "" {
		r.returned[r.holdName(hold)] = true
	}
	if hr.Method != http.MethodDelete {
		return
	}
	if handle, ok := strings.CutPrefix(hr.URL.Path, "/kv-handle/"); ok {
		r.returned[r.Addr+"/"+handle] = true
	}
	if hold, ok := strings.CutPrefix(hr.URL.Path, "/hold-drop/"); ok {
		r.returned[r.holdName(hold)] = true
	}
}

// Outstanding returns the KV handles and holds that the replicas have
// given out between two instants and that were neither used nor released since.
func Outstanding(replicas []*Replica, from, to time.Time) []Grant {
	returned := make(map[string]bool)
	var granted []Grant
	for _, r := range replicas {
		r.mu.Lock()
		for name := range r.returned {
			returned[name] = true
		}
		granted = append(granted, r.grants...)
		r.mu.Unlock()
	}
	var left []Grant
	for _, g := range granted {
		if !returned[g.Name] && !g.At.Before(from) && g.At.Before(to) {
			left = append(left, g)
		}
	}
	return left
}

// TaggedBody returns the answer of a tagged plain service with this body.
func TaggedBody(id, body string) string { return id + " " + body }

// TaggedEvents returns the stream of a tagged replica after the event last.
func TaggedEvents(id string, last, count int) string {
	var b strings.Builder
	for n := last + 1; n <= count; n++ {
		b.WriteString(taggedEvent(id, n))
	}
	return b.String()
}

// taggedEvent returns one event of a tagged stream.
func taggedEvent(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s token%d\n\n", n, id, n)
}
