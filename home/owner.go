package home

import (
	"github.com/cespare/xxhash/v2"

	"lacewinghook.example/lacewinghook/core"
)

// Of returns the name of the entry among live that is the upstream's home;
// empty if there is none. When an entry comes or goes, only the homes at that
// entry move.
func Of(upstream string, live []core.Instance) string {
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

func weight(upstream, entry string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writing to a hash never fails.
	_, _ = d.WriteString(upstream)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(entry)
	return d.Sum64()
}
