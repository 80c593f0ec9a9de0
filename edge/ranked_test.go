package edge_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestPriorityReachesReplicas guards against replicas that are not told the priority of a
// workspace, or are told one that a caller has set.
func TestPriorityReachesReplicas(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.putAccounts(2, `{"name":"ws-a","api_keys":["key-a"],"priority":0},{"name":"ws-b","api_keys":["key-b"]}`)
	r := s.startReady()
	for id, c := range map[string]struct{ key, want string }{"0001": {"key-a", "0"}, "0002": {"key-b", "2"}} {
		a := r.do(context.Background(), callerRequest{id: id, path: "/once/1", header: map[string]string{
			"Api-Key": c.key, "Lacewinghook-Request-Priority": "7",
		}})
		is.Equal(a.status, http.StatusOK)
		found := 0
		for _, d := range s.services {
			for _, h := range d.RequestHeaders() {
				if h.Get("Lacewinghook-Request-Id") == id {
					found++
					is.Equal(h.Get("Lacewinghook-Request-Priority"), c.want)
				}
			}
		}
		is.Equal(found, 1)
	}
}
