package notice

import (
	"cmp"
	"slices"

	"lacewinghook.example/lacewinghook/clock"
)

// Statuses holds the status of each replica. [Table] implements it.
type Statuses interface {
	Status(replica string) Status
	Names() []string
}

// Known returns the replicas that must get nothing from this entry, and those that are
// known to leave, of those for which include returns true. s may be nil.
func Known(s Statuses, include func(replica string) bool) (barred, leaving []string) {
	if s == nil {
		return nil, nil
	}
	for _, name := range s.Names() {
		if !include(name) {
			continue
		}
		status := s.Status(name)
		if status.Barred {
			barred = append(barred, name)
		}
		if status.Leaving {
			leaving = append(leaving, name)
		}
	}
	return barred, leaving
}

// View is what operators see of a replica that has a [Status].
type View struct {
	Replica string `json:"replica"`
	// Barred means that the entry sends nothing there, and Leaving that it does so only
	// if there is no other replica.
	Barred  bool `json:"barred"`
	Leaving bool `json:"leaving"`
	// PauseLeft is the rest of the pause in milliseconds, zero if there is none.
	PauseLeft clock.Millis `json:"pause_left,omitempty"`
	// Source is the entry that learned that the replica leaves or was replaced, and Age
	// the time since then in milliseconds.
	Source string       `json:"source,omitempty"`
	Age    clock.Millis `json:"age,omitempty"`
}

// View returns the replicas that have a [Status], by name.
func (t *Table) View() []View {
	views := []View{}
	now := t.Clock.Now()
	for _, name := range t.Names() {
		s := t.Status(name)
		if s == (Status{}) {
			continue
		}
		views = append(views, View{Replica: name, Barred: s.Barred, Leaving: s.Leaving, PauseLeft: max(0, s.PausedUntil-now), Source: s.Source, Age: s.Age})
	}
	slices.SortFunc(views, func(a, b View) int { return cmp.Compare(a.Replica, b.Replica) })
	return views
}
