package core_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/core"
)

// TestIDRoundTrip checks that ParseID is the inverse of String.
func TestIDRoundTrip(t *testing.T) {
	is := is.New(t)
	seq := core.Sequence{Owner: core.Owner{Instance: "moose-jaw-1", Boot: core.NewBoot()}}
	seq.Next()
	want := seq.Next()
	got, err := core.ParseID(want.String())
	is.NoErr(err)
	is.Equal(got, want)
}

// TestParseIDRejects checks that malformed and overlong IDs are rejected.
func TestParseIDRejects(t *testing.T) {
	for name, in := range map[string]string{
		"empty":     "",
		"two parts": "a.1",
		"boot":      "a.zz.1",
		"sequence":  "a.1.-1",
		"long":      strings.Repeat("a", 200) + ".1.1",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := core.ParseID(in)
			is.New(t).True(err != nil)
		})
	}
}

// TestBlocksShareOnlyTheCommonPrefix checks that the hashes of two prompts are
// equal up to the end of their common prefix, and no further.
func TestBlocksShareOnlyTheCommonPrefix(t *testing.T) {
	is := is.New(t)
	shared := strings.Repeat("style ", 1000)
	a := core.Blocks(shared + strings.Repeat("condolence ", 500))
	b := core.Blocks(shared + strings.Repeat("birthday ", 500))
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	is.Equal(n, len(core.Blocks(shared)))
}
