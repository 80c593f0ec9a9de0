package assign

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lacewinghook.example/lacewinghook/core"
)

// Owner returns the name of the live entry that owns the upstream, or "" if
// no entry is live. When an entry joins or leaves, only the upstreams it owns
// are reassigned. Entries on machines with a larger CPU share own more.
func Owner(upstream string, live []core.Instance) string {
	var best string
	var most float64
	equal := !slices.ContainsFunc(live, func(in core.Instance) bool { return in.Share != live[0].Share })
	for i := range live {
		w := hash(upstream, live[i].Name)
		if !equal {
			w = weighted(w, live[i].Share)
		}
		if best == "" || w > most || w == most && live[i].Name < best {
			best, most = live[i].Name, w
		}
	}
	return best
}

// hash returns the rendezvous hash of the pair, a number between 0 and 1, both excluded.
func hash(upstream, entry string) float64 {
	var d xxhash.Digest
	d.Reset()
	// Writing to a hash never fails.
	_, _ = d.WriteString(upstream)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(entry)
	return (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
}

// weighted returns the weighted rendezvous hash for an entry with a CPU share. An owner gets
// the questions of all entries, so that it must be among the entries with room for them,
// even if these are few: the weight is the third power of the share, by which an entry
// with four times the share owns 64 times as much. An unknown share counts as one core.
func weighted(hash, share float64) float64 {
	if share <= 0 {
		share = 1
	}
	return -share * share * share / math.Log(hash)
}
