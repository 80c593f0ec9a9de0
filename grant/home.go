package grant

import "github.com/cespare/xxhash/v2"

// Rendezvous returns the home of an upstream among the live entries: the one
// whose name and the upstream's hash highest together. When an entry comes or
// goes, only the upstreams of that one change their home.
func Rendezvous(upstream string, entries []string) string {
	home, most := "", uint64(0)
	for _, e := range entries {
		h := xxhash.Sum64String(upstream + "\x00" + e)
		if home == "" || h > most || h == most && e < home {
			home, most = e, h
		}
	}
	return home
}
