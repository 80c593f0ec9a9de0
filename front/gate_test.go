package front

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pubdoc"
)

// lateNews is a gate at which a newer document arrives.
type lateNews struct {
	book *pubdoc.ActiveDocument
	doc  *core.Document
}

func (g lateNews) Admit() error {
	g.book.Update(g.doc)
	return nil
}

// documentWith returns a document that knows one workspace's key.
func documentWith(version int64, key string) *core.Document {
	return &core.Document{
		Version:    version,
		Profiles:   []core.Profile{{Name: "exact"}},
		Workspaces: []core.Workspace{{Name: "verse-writers", Profile: "exact", Keys: []string{pubdoc.Digest(key)}}},
		Upstreams:  []core.Upstream{{Name: "decode-1", Models: []string{"verse"}}},
		Routes:     []core.Route{{Service: "card-desk", Prefix: "/", Repeatable: true}},
	}
}

// TestCallIsJudgedByTheDocumentInForce withdraws a key while the call that
// shows it is being read, as happens to an entry that was frozen and wakes.
func TestCallIsJudgedByTheDocumentInForce(t *testing.T) {
	for _, path := range []string{"/v1/completions", "/v1/services/card-desk/stock"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			book := &pubdoc.ActiveDocument{}
			book.Update(documentWith(1, "k"))
			s := &Server{
				Views: book, IDs: &core.Sequence{}, Log: zap.NewNop(),
				Gate: lateNews{book, documentWith(2, "another")},
			}
			r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(`{"model":"verse","prompt":"x"}`))
			r.Header.Set("Authorization", "Bearer k")
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, r)
			is.Equal(w.Code, http.StatusUnauthorized)
		})
	}
}
