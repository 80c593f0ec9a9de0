package assign

import (
	"slices"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/shard"
)

// Finder finds the owners of keys, and passes over entries that didn't answer. The zero
// value is ready to use.
type Finder struct {
	// MaxSilence, if not zero, lets the time for which an entry is passed over double up
	// to it, until the entry has answered. A dead entry may be listed for a minute.
	MaxSilence clock.Millis

	// silent holds, by name, the entries that didn't answer.
	silent shard.Map[string, silence]
}

// silence is an entry that didn't answer.
type silence struct {
	// until is the instant until which it is passed over, and last the time for which.
	until, last clock.Millis
}

// Owner returns the owner of a key at now: of the entries that aren't passed over, the
// one with the highest rendezvous hash. ok is false if there is none.
func (f *Finder) Owner(key string, entries []core.Instance, now clock.Millis) (owner core.Instance, ok bool) {
	usable := entries
	if f.silent.Len() > 0 {
		usable = slices.DeleteFunc(slices.Clone(entries), func(in core.Instance) bool {
			s, ok := f.silent.Get(in.Name)
			return ok && now < s.until
		})
	}
	name := Owner(key, usable)
	i := slices.IndexFunc(usable, func(in core.Instance) bool { return in.Name == name })
	if i < 0 {
		return core.Instance{}, false
	}
	return usable[i], true
}

// PassOver passes over an entry for d, or longer if it has been passed over before.
func (f *Finder) PassOver(name string, now, d clock.Millis) {
	f.silent.Update(name, func(s silence, ok bool) (silence, bool) {
		if ok && now < s.until {
			// Several calls have found out at once.
			return s, true
		}
		d := max(d, min(2*s.last, f.MaxSilence))
		return silence{until: now + d, last: d}, true
	})
}

// Answered ends the silence of an entry.
func (f *Finder) Answered(name string) {
	if f.silent.Len() > 0 {
		f.silent.Delete(name)
	}
}
