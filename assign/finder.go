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
	// silent holds, by name, until when an entry is passed over.
	silent shard.Map[string, clock.Millis]
}

// Owner returns the owner of a key at now: of the entries that aren't passed over, the
// one with the highest rendezvous hash. ok is false if there is none.
func (f *Finder) Owner(key string, entries []core.Instance, now clock.Millis) (owner core.Instance, ok bool) {
	usable := entries
	if f.silent.Len() > 0 {
		usable = slices.DeleteFunc(slices.Clone(entries), func(in core.Instance) bool {
			until, ok := f.silent.Get(in.Name)
			return ok && now < until
		})
	}
	name := Owner(key, usable)
	i := slices.IndexFunc(usable, func(in core.Instance) bool { return in.Name == name })
	if i < 0 {
		return core.Instance{}, false
	}
	return usable[i], true
}

// PassOver passes over an entry until the given instant.
func (f *Finder) PassOver(name string, until clock.Millis) { f.silent.Set(name, until) }
