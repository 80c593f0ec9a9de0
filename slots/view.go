package slots

import (
	"lacewinghook.example/lacewinghook/assign"
	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// GroupView is what the owner of a group knows of it.
type GroupView struct {
	// Waiting counts the calls that wait for a slot.
	Waiting  int
	Replicas map[string]ReplicaView
}

// ReplicaView is what the owner of a group knows of a replica.
type ReplicaView struct {
	// InFlight counts the calls of all entries there.
	InFlight int
	// MeanTime is the mean answer time in milliseconds, and MeasuredAt the instant of the
	// last answer; both are zero if none was measured.
	MeanTime   float64
	MeasuredAt clock.Millis
	// Failures is the share of recent calls that failed.
	Failures float64
	// Full means that the replica has just refused a call.
	Full bool
}

// View returns what this entry knows of a group as its owner. ok is false if it has not
// granted slots of the group. View changes nothing.
func (d *Desk) View(service string, number int) (v GroupView, ok bool) {
	g, ok := d.groups.Get(assign.GroupKey(service, number))
	if !ok {
		return GroupView{}, false
	}
	now := d.Clock.Now()
	v = GroupView{Waiting: int(g.waiting.Load()), Replicas: make(map[string]ReplicaView)}
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, s := range g.replicas {
		mean, _ := s.times.Recent(now)
		failures, _ := s.failures.Recent(now)
		v.Replicas[name] = ReplicaView{
			InFlight: s.inFlight, MeanTime: mean, MeasuredAt: s.times.At, Failures: failures, Full: s.refused && now < s.fullUntil,
		}
	}
	return v, true
}

// Owner returns the entry that would be asked for a slot of a group now. ok is false if
// calls need no slots or all entries are passed over.
func (c *Client) Owner(service string, group int) (owner core.Instance, ok bool) {
	return c.finder.Owner(assign.GroupKey(service, group), c.Entries(), c.Clock.Now())
}
