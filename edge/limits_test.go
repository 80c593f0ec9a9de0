package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLimitHoldsOverAllEntries guards against a limit that each entry grants for itself,
// requests that are refused below it, and tokens of requests that did not run that are lost.
func TestLimitHoldsOverAllEntries(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := newSite(t)
	route := `,{"name":"none","host":"h.example","prefix":"/none/","route_kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"nobody","max_attempts":1}`
	accounts := `"tenants":[{"name":"ws-a","api_keys":["key-a"],"unit":"token_stream","uncached_tokens":500,"rate_per_s":100,"burst":2000},` +
		`{"name":"ws-b","api_keys":["key-b"],"unit":"token_stream","uncached_tokens":500}],"services":`
	s.store.Put("op", "config", strings.Replace(fmt.Sprintf(manifestText, 2, 10000, route), `"services":`, accounts, 1))
	first := s.startReady()
	entries := []*runningEntry{first, s.startReady(first), s.startReady(first)}
	for _, r := range entries {
		s.until("the entries know each other", func() bool { return len(r.addresses()) == len(entries) })
	}
	// By their names, the third entry is the owner. It takes over the bucket from the first,
	// without the tokens that are out at that time.
	s.until("the owner has the bucket", func() bool {
		return entries[2].logs.FilterMessage("quota: took a workspace over").Len() > 0
	})
	n := 0
	send := func(path, key string) answer {
		n++
		return entries[n%len(entries)].do(ctx, callerRequest{id: fmt.Sprintf("%016x", n), path: path, header: map[string]string{"Api-Key": key}})
	}

	for range 6 {
		is.Equal(send("/none/1", "key-a").status, http.StatusServiceUnavailable)
		// The tokens are given back within a quarter of a second.
		time.Sleep(300 * time.Millisecond)
	}
	begun := time.Now()
	accepted := 0
	for range 30 {
		a := send("/safe/1", "key-a")
		if a.status == http.StatusOK {
			accepted++
			continue
		}
		is.Equal(a.status, http.StatusTooManyRequests)
		is.Equal(a.body, "rate_limited\n")
		retry, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(retry > 0)
	}
	is.True(accepted >= 4) // the burst
	is.True(float64(accepted*500) <= 2000+100*time.Since(begun).Seconds()+500)
	for range 20 {
		is.Equal(send("/safe/2", "key-b").status, http.StatusOK) // it has no limit
	}
	refused := 0
	for _, r := range entries {
		for _, line := range r.logs.FilterMessage("quota: request refused").All() {
			refused++
			is.Equal(line.ContextMap()["workspace"], "ws-a")
			is.True(strings.HasPrefix(line.ContextMap()["by"].(string), "edge-"))
		}
	}
	is.Equal(refused, 30-accepted)
}
