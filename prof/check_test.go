package prof_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/prof"
	"lacewinghook.example/lacewinghook/trial"
)

// TestCheckNamesEveryFault breaks a valid document in many places at once.
func TestCheckNamesEveryFault(t *testing.T) {
	is := is.New(t)
	doc := trial.Document()
	engine := core.Upstream{Name: "decode-1", Addr: "10.0.0.1:80", Centre: "weyburn", Role: core.Decode, Models: []string{"org/verse"}}
	doc.Upstreams = []core.Upstream{engine}
	is.NoErr(prof.Check(&doc))

	doc.Profiles[0].Timeout = -1
	doc.Profiles[1].Name = doc.Profiles[0].Name
	doc.Workspaces[0].Profile = "unknown"
	doc.Workspaces[0].Keys = []string{"not a digest", prof.Digest("a"), prof.Digest("a")}
	host := engine
	host.Addr = "engine.example:80"
	role := engine
	role.Name, role.Role, role.Addr = "", "cook", "10.0.0.2:0"
	doc.Upstreams = append(doc.Upstreams, engine, host, role)
	doc.Routes[0].Prefix = "orders"
	doc.Routes[1].Timeout = 0
	doc.Desired = []core.Desired{{Upstream: "decode-9", Role: core.Service}}
	err := prof.Check(&doc)
	is.True(codes.Has(err, codes.BadDocument))
	faults := prof.Faults(err)
	want := []string{
		"profiles[0].timeout", "profiles[1].name", "workspaces[0].profile",
		"workspaces[0].keys[0]", "workspaces[0].keys[2]",
		"upstreams[1].name", "upstreams[1].addr", "upstreams[2].name", "upstreams[2].addr",
		"upstreams[3].name", "upstreams[3].addr", "upstreams[3].role",
		"routes[0].prefix", "routes[1].timeout", "desired[0].upstream", "desired[0].role",
	}
	is.Equal(len(faults), len(want))
	for i, field := range want {
		is.True(strings.HasPrefix(faults[i], field+": "))
	}
}

// largeDocument is a document of the size that is expected in two years.
func largeDocument() core.Document {
	doc := trial.Document()
	doc.Workspaces = nil
	for i := range 990 {
		w := core.Workspace{Name: fmt.Sprintf("workspace-%d", i), Profile: "exact"}
		for j := range 2 {
			w.Keys = append(w.Keys, prof.Digest(fmt.Sprint(i, j)))
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

// TestLargeDocumentFitsItsRow publishes a document of the size to come.
func TestLargeDocumentFitsItsRow(t *testing.T) {
	is := is.New(t)
	p, desk := platform(t)
	doc := largeDocument()
	_, err := desk.Publish(t.Context(), prof.Order{Doc: doc})
	is.NoErr(err)
	now, err := desk.Current(t.Context())
	is.NoErr(err)
	is.Equal(len(now.Upstreams), 1500)
	plain, err := json.Marshal(now)
	is.NoErr(err)
	kept := len(p.Table.Read([]string{prof.Key})[0].Value)
	t.Logf("plain %d bytes, kept %d bytes", len(plain), kept)
	is.True(kept < len(plain)/2)
}
