package check_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/access"
	"lacewinghook.example/lacewinghook/check"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/trial"
)

// TestDocumentReportsEveryFault checks that each of many faults in one document
// is reported.
func TestDocumentReportsEveryFault(t *testing.T) {
	is := is.New(t)
	doc := trial.Document()
	engine := core.Upstream{Name: "decode-1", Addr: "10.0.0.1:80", Centre: "weyburn", Role: core.Decode, Models: []string{"org/verse"}}
	doc.Upstreams = []core.Upstream{engine}
	is.NoErr(check.Document(&doc))

	doc.Profiles[0].Timeout = -1
	doc.Profiles[1].Name = doc.Profiles[0].Name
	doc.Workspaces[0].Profile = "unknown"
	doc.Workspaces[0].Keys = []string{"not a digest", access.Digest("a"), access.Digest("a")}
	host := engine
	host.Addr = "engine.example:80"
	role := engine
	role.Name, role.Role, role.Addr = "", "cook", "10.0.0.2:0"
	doc.Upstreams = append(doc.Upstreams, engine, host, role)
	doc.Routes[0].Prefix = "orders"
	doc.Routes[1].Timeout = 0
	doc.Desired = []core.Desired{{Upstream: "decode-9", Role: core.Service}}
	err := check.Document(&doc)
	is.True(codes.Has(err, codes.BadDocument))
	faults := check.Faults(err)
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
