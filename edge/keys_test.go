package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// putAccounts publishes a manifest with the given workspaces and a public route.
func (s *site) putAccounts(version int, accounts string) {
	public := `,{"name":"open","host":"h.example","prefix":"/open/","route_kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2,"public":true}`
	manifest := fmt.Sprintf(manifestText, version, 10000, public)
	s.store.Put("op", "config", strings.Replace(manifest, `"services":`, `"tenants":[`+accounts+`],"services":`, 1))
}

// TestKeys guards against requests that run without the key of a workspace, under the name
// of another one, or with a key that was withdrawn, and against keys sent to replicas.
func TestKeys(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := newSite(t)
	s.putAccounts(2, `{"name":"ws-a","api_keys":["key-a","key-b"]},{"name":"ws-c","api_keys":["key-c"]}`)
	r := s.startReady()

	n := 0
	send := func(path, key, claimed string) (status int, seen http.Header) {
		n++
		header := map[string]string{"Lacewinghook-Tenant": claimed}
		if key != "" {
			header["Api-Key"] = key
		}
		id := fmt.Sprintf("%016x", n)
		a := r.do(ctx, callerRequest{id: id, path: path, header: header})
		for _, d := range s.services {
			for _, h := range d.RequestHeaders() {
				if h.Get("Lacewinghook-Request-Id") == id {
					seen = h
				}
			}
		}
		is.Equal(seen != nil, a.status == http.StatusOK) // only what was accepted reaches the replica
		return a.status, seen
	}
	for _, c := range []struct {
		path, key string
		status    int
		workspace string
	}{
		{"/once/1", "key-a", 200, "ws-a"},
		{"/once/2", "key-b", 200, "ws-a"},
		{"/once/3", "key-c", 200, "ws-c"},
		{"/once/4", "key-", 401, ""},
		{"/once/5", "", 401, ""},
		{"/open/6", "", 200, ""},
		{"/open/7", "key-x", 200, ""},
	} {
		status, seen := send(c.path, c.key, "ws-z")
		is.Equal(status, c.status)
		if seen != nil {
			is.Equal(seen.Get("Lacewinghook-Tenant"), c.workspace)
			is.Equal(seen.Get("Api-Key"), "")
		}
	}
	// The connection of the earlier requests is kept.
	s.putAccounts(3, `{"name":"ws-a","api_keys":["key-a"]},{"name":"ws-c","api_keys":["key-c"]}`)
	s.until("the withdrawn key is refused", func() bool {
		status, _ := send("/safe/8", "key-b", "")
		return status == http.StatusUnauthorized
	})
	// A manifest whose keys are ambiguous changes nothing.
	for i, accounts := range []string{
		`{"name":"ws-a","api_keys":["key-a","key-b"]},{"name":"ws-c","api_keys":["key-a"]}`,
		`{"name":"ws-a","api_keys":["key-a"],"unit":"furlong"},{"name":"ws-b","api_keys":["key-b"]}`,
		`{"name":"ws-a","api_keys":["key-a",""]},{"name":"ws-b","api_keys":["key-b"]}`,
		`{"name":"ws-a","api_keys":["key-a","key-b"],"rate_per_s":-1}`,
	} {
		s.putAccounts(4+i, accounts)
		s.until("the invalid manifest was read", func() bool { return r.logs.FilterMessageSnippet("ignored an invalid manifest").Len() == i+1 })
	}
	status, _ := send("/safe/9", "key-b", "")
	is.Equal(status, http.StatusUnauthorized)
	status, _ = send("/safe/10", "key-a", "")
	is.Equal(status, http.StatusOK)
}
