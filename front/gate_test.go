package front

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/access"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pubdoc"
)

// updatingGate is a [Gate] that activates a newer document in Admit.
type updatingGate struct {
	active *pubdoc.ActiveDocument
	doc    *core.Document
}

// Admit implements [Gate].
func (g updatingGate) Admit() error {
	g.active.Update(g.doc)
	return nil
}

// newDocument returns a document with one workspace that has the key.
func newDocument(version int64, key string) *core.Document {
	return &core.Document{
		Version:    version,
		Profiles:   []core.Profile{{Name: "exact"}},
		Workspaces: []core.Workspace{{Name: "verse-writers", Profile: "exact", Keys: []string{access.Digest(key)}}},
		Upstreams:  []core.Upstream{{Name: "decode-1", Models: []string{"verse"}}},
		Routes:     []core.Route{{Service: "card-desk", Prefix: "/", Repeatable: true}},
	}
}

// TestRevokedKeyIsRejected revokes a key while the call that carries it is being
// read, as happens if the process is suspended in between.
func TestRevokedKeyIsRejected(t *testing.T) {
	for _, path := range []string{"/v1/completions", "/v1/services/card-desk/stock"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			active := &pubdoc.ActiveDocument{}
			active.Update(newDocument(1, "k"))
			s := &Server{
				Documents: active, IDs: &core.Sequence{}, Log: zap.NewNop(),
				Gate: updatingGate{active, newDocument(2, "another")},
			}
			r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(`{"model":"verse","prompt":"x"}`))
			r.Header.Set("Authorization", "Bearer k")
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, r)
			is.Equal(w.Code, http.StatusUnauthorized)
		})
	}
}
