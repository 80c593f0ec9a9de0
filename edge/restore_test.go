package edge_test

import (
	"context"
	"net/http"
	"slices"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// TestEntryThatStartsAfterARestore guards against routes and keys that go back when the store
// is set back to a copy with an older manifest: a running entry keeps the one in force, and
// one that starts takes it from a peer.
func TestEntryThatStartsAfterARestore(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	old := s.store.Copy()
	s.publish(5, 1000, `,{"name":"new","host":"h.example","prefix":"/new/","route_kind":"idempotent","timeout_ms":1000,"service":"desk","max_attempts":2}`)
	first := s.startReady()
	const table = "lacewinghook-entries"
	listed := func(name string) func() bool {
		return func() bool { return slices.Contains(s.store.Keys(table), name) }
	}
	s.until("the row of the entry", listed("edge-1"))
	for _, write := range s.store.Restore(old, "servers") {
		write()
	}
	s.until("the row in the restored store", listed("edge-1"))
	is.Equal(first.logs.FilterMessageSnippet("the store was restored").Len(), 1)
	is.Equal(first.do(context.Background(), callerRequest{id: "a", path: "/new/a"}).status, http.StatusOK)
	s.restarted = true
	second := s.startReady(first)
	s.until("the manifest of the peer", func() bool {
		return second.logs.FilterMessage("watch: activated a manifest").FilterField(zap.Int64("version", 5)).Len() == 1
	})
	is.Equal(second.do(context.Background(), callerRequest{id: "b", path: "/new/b"}).status, http.StatusOK)
	is.Equal(first.logs.FilterMessage("watch: activated a manifest").Len(), 1) // it never went back
}
