package extsim

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Arrival is a request that a [Replica] received.
type Arrival struct {
	At time.Time
	// Call is the method and the path, and ID the request ID, empty for control calls.
	Call, ID string
	// Other is set if the request expected another replica, and Leaving if the answer
	// to it stated that the replica leaves.
	Other, Leaving bool
}

// Rejection is a request that a [Replica] rejected with a Retry-After header.
type Rejection struct {
	At    time.Time
	After time.Duration
	// ID is the request ID, empty for control calls.
	ID string
}

// notices holds what a [Replica] states about itself in its answers, and what it
// received. The replica's mu guards the fields.
type notices struct {
	leaving     bool
	pausedUntil time.Time
	retryAfter  []string
	arrivals    []Arrival
	rejections  []Rejection
}

// Leave makes all further answers carry Server-Leaving, or none of them.
func (r *Replica) Leave(leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notices.leaving = leaving
}

// Pause makes the replica reject all requests for d. Its answers ask for no
// requests until then.
func (r *Replica) Pause(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notices.pausedUntil = time.Now().Add(d)
}

// RejectWith makes the replica reject the next requests, one for each value, which
// is sent as Retry-After.
func (r *Replica) RejectWith(values ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notices.retryAfter = values
}

// Arrivals returns the requests received so far.
func (r *Replica) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.notices.arrivals...)
}

// Rejections returns the requests that [Replica.Pause] has rejected so far.
func (r *Replica) Rejections() []Rejection {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Rejection(nil), r.notices.rejections...)
}

// leavingLine returns the header line that states that the replica leaves, or
// nothing, for answers that are written without net/http.
func (r *Replica) leavingLine() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.notices.leaving {
		return ""
	}
	return "Server-Leaving: 1\r\n"
}

// serveNotices records a request and sets the headers that the replica states about
// itself. It returns true if it has rejected the request.
func (r *Replica) serveNotices(w http.ResponseWriter, hr *http.Request) bool {
	want, id := hr.Header.Get("Lacewinghook-Expect-Replica"), hr.Header.Get("Lacewinghook-Request-Id")
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	n := &r.notices
	other := want != "" && want != r.ID
	n.arrivals = append(n.arrivals, Arrival{At: now, Call: hr.Method + " " + hr.URL.Path, ID: id, Other: other, Leaving: n.leaving})
	if n.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if other {
		return false
	}
	var after string
	switch left := n.pausedUntil.Sub(now); {
	case len(n.retryAfter) > 0:
		after, n.retryAfter = n.retryAfter[0], n.retryAfter[1:]
	case left > 0:
		after = strconv.FormatFloat(left.Seconds(), 'f', -1, 64)
		n.rejections = append(n.rejections, Rejection{At: now, After: left, ID: id})
	default:
		return false
	}
	if id != "" {
		w.Header().Set("Lacewinghook-Request-Id", id)
	}
	w.Header().Set("Lacewinghook-Not-Executed", "1")
	w.Header().Set("Retry-After", after)
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// RowOf returns [Replica.Row] with another time of start, as a replica that has
// started again under its name publishes it.
func (r *Replica) RowOf(state string, born int64) string {
	phase := ""
	if r.Phase != "" {
		phase = fmt.Sprintf(`,"phase":%q,"models":[{"name":"m","version":1,"adapters":[]}]`, r.Phase)
	}
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"moose-jaw","version":"v1","slots":64,"state":%q,"cold_left_ms":0,"seq_no":4,"born":%d%s}`,
		r.Service, r.Addr, state, born, phase)
}
