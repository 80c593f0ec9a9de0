package assign

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"lacewinghook.example/lacewinghook/core"
)

// Owner returns the name of the live entry that owns the upstream, or "" if
// no entry is live. When an entry joins or leaves, only the upstreams it owns
// are reassigned. Entries on machines with a larger CPU share own more.
func Owner(upstream string, live []core.Instance) string {
	var best string
	var most float64
	for i := range live {
		w := weight(upstream, live[i].Name, live[i].Share)
		if best == "" || w > most || w == most && live[i].Name < best {
			best, most = live[i].Name, w
		}
	}
	return best
}

// shareExponent relates the part of the upstreams that an entry owns to its CPU share. An
// owner gets the questions of all entries, so that it must be among the entries with room
// for them, even if these are few: with four times the share an entry owns 64 times as much.
const shareExponent = 3

// weight returns the weighted rendezvous hash of the pair; the entry with the highest
// one owns the upstream. Of entries with equal shares it is the one with the highest hash.
func weight(upstream, entry string, share float64) float64 {
	var d xxhash.Digest
	d.Reset()
	// Writing to a hash never fails.
	_, _ = d.WriteString(upstream)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(entry)
	// The hash as a number between 0 and 1, both excluded.
	u := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	if share <= 0 {
		share = 1
	}
	return -math.Pow(share, shareExponent) / math.Log(u)
}
