package edge_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestNothingIsSentForCallersThatLeft guards against requests that reach a replica although
// the entry's host knew that their callers had left, since the entry read them late.
func TestNothingIsSentForCallersThatLeft(t *testing.T) {
	const callers = 200
	for name, path := range map[string]string{"call": "/safe/a", "call that may not be repeated": "/once/a", "stream": "/verse/a", "resumable stream": "/long/a"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t)
			r, late := s.startLate()
			for i := range callers {
				c := r.dial(t)
				write(t, c, fmt.Sprintf("left-%d", i), path)
				is.NoErr(c.Close())
			}
			late.Store(false)
			c := r.dial(t)
			write(t, c, "stays", path)
			is.Equal(readAnswer(c).status, http.StatusOK)
			s.until("all requests have ended", func() bool {
				return r.logs.FilterMessage("ingress: caller closed its side before the answer").Len()+s.arrived("left-") >= callers
			})
			is.Equal(s.arrived("left-"), 0)
		})
	}
}

// arrived returns the number of calls of any kind that replicas have received for requests
// whose IDs begin with prefix.
func (s *site) arrived(prefix string) int {
	n := 0
	for _, r := range slices.Concat(s.services, s.prefill, s.decode) {
		for _, a := range r.Arrivals() {
			if strings.HasPrefix(a.ID, prefix) {
				n++
			}
		}
	}
	return n
}
