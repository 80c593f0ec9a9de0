package pubdoc_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/access"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pubdoc"
	"lacewinghook.example/lacewinghook/trial"
)

// largeDocument returns a document of the size expected in two years.
func largeDocument() core.Document {
	doc := trial.Document()
	doc.Workspaces = nil
	for i := range 990 {
		w := core.Workspace{Name: fmt.Sprintf("workspace-%d", i), Profile: "exact"}
		for j := range 2 {
			w.Keys = append(w.Keys, access.Digest(fmt.Sprint(i, j)))
		}
		doc.Workspaces = append(doc.Workspaces, w)
	}
	for i := range 1500 {
		doc.Upstreams = append(doc.Upstreams, core.Upstream{
			Name: fmt.Sprintf("decode-%d", i), Addr: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
			Centre: fmt.Sprintf("centre-%d", i%11), Role: core.Decode, Pieces: 60, Rate: 12500000,
			Models: []string{fmt.Sprintf("org/model-%d", i%32), fmt.Sprintf("org/model-%d", (i+7)%32)},
		})
	}
	return doc
}

// TestLargeDocumentFitsItsRow publishes a large document and checks that it
// fits into a row and is compressed to less than half.
func TestLargeDocumentFitsItsRow(t *testing.T) {
	is := is.New(t)
	p, pub := platform(t)
	doc := largeDocument()
	_, err := pub.Publish(t.Context(), pubdoc.PublishRequest{Doc: doc})
	is.NoErr(err)
	now, err := pub.Current(t.Context())
	is.NoErr(err)
	is.Equal(len(now.Upstreams), 1500)
	plain, err := json.Marshal(now)
	is.NoErr(err)
	stored := len(p.Table.Read([]string{pubdoc.DocumentKey})[0].Value)
	t.Logf("plain %d bytes, stored %d bytes", len(plain), stored)
	is.True(stored < len(plain)/2)
}
