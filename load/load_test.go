package load_test

import (
	"bytes"
	"context"
	"encoding/xml"
	"io"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/load"
)

func TestEveryPlanIsValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../plans/*.json")
	is.NoErr(err)
	is.True(len(files) > 0)
	for _, file := range files {
		_, err := load.ReadPlan(file)
		is.NoErr(err)
	}
}

func TestCheckReportsEveryFault(t *testing.T) {
	is := is.New(t)
	err := (&load.Plan{Classes: []load.RequestClass{{Kind: "poem"}}}).Check()
	is.True(err != nil)
	for _, field := range []string{"seeds", "length", "rate", "policies", "stand.entries", "mixes.kind"} {
		is.True(bytes.Contains([]byte(err.Error()), []byte(field))) // every invalid field is named
	}
}

func TestSeedFixesTheArrivals(t *testing.T) {
	is := is.New(t)
	p, err := load.ReadPlan("../plans/verse.json")
	is.NoErr(err)
	a, b, other := p.Arrivals(1), p.Arrivals(1), p.Arrivals(2)
	is.Equal(len(a), len(b))
	for i := range a {
		is.Equal(a[i], b[i])
	}
	is.True(a[0].At != other[0].At || a[0].Prompt != other[0].Prompt)
}

func TestRunReportsARowForEachPolicyAndSeed(t *testing.T) {
	is := is.New(t)
	p := &load.Plan{
		Name: "tiny", Seeds: []uint64{1}, Duration: 300, ArrivalRate: 30,
		Classes: []load.RequestClass{
			{Name: "short", Kind: load.Completion, Share: 1, PromptTokens: load.Range{Min: 10, Max: 20}, OutputTokens: load.Range{Min: 2, Max: 4}},
			{Name: "lookup", Kind: load.Lookup, Share: 1},
		},
		Cluster:  load.Cluster{Entries: 1, Prefills: 1, Decodes: 1, Services: 1, PrefillRate: 50, StepTime: 2, PiecesPerEngine: 60},
		Policies: []load.Policy{{Name: "a"}, {Name: "b"}},
	}
	is.NoErr(p.Check())
	r, err := load.Run(context.Background(), p, io.Discard)
	is.NoErr(err)
	is.Equal(len(r.Rows), 2)
	for _, row := range r.Rows {
		is.True(row.Offered > 0)
		is.True(row.Good <= row.Bound) // no policy exceeds the bound
		is.Equal(row.Wrong, 0)
		is.Equal(row.HeldPieces, 0)
	}
	var plot bytes.Buffer
	is.NoErr(r.SVG(&plot))
	is.NoErr(xml.Unmarshal(plot.Bytes(), &struct{}{}))
}
