package assign

import (
	"github.com/cespare/xxhash/v2"

	"lacewinghook.example/lacewinghook/core"
)

// Owner returns the name of the live entry that owns the upstream, or "" if
// no entry is live. When an entry joins or leaves, only the upstreams it owns
// are reassigned.
func Owner(upstream string, live []core.Instance) string {
	var best string
	var most uint64
	for i := range live {
		w := weight(upstream, live[i].Name)
		if best == "" || w > most || w == most && live[i].Name < best {
			best, most = live[i].Name, w
		}
	}
	return best
}

// weight returns the rendezvous hash of the pair; the entry with the highest
// one owns the upstream.
func weight(upstream, entry string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writing to a hash never fails.
	_, _ = d.WriteString(upstream)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(entry)
	return d.Sum64()
}
