package pubdoc_test

import (
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pubdoc"
)

// TestBeforeChange guards against a version that requests can use before the entry has
// prepared for it.
func TestBeforeChange(t *testing.T) {
	is := is.New(t)
	var a pubdoc.ActiveDocument
	var before, after []int64
	a.BeforeChange = func(v *pubdoc.View) {
		is.Equal(a.Version(), v.Doc.Version-1)
		before = append(before, v.Doc.Version)
	}
	a.OnChange = func(v *pubdoc.View) {
		is.Equal(a.Version(), v.Doc.Version)
		after = append(after, v.Doc.Version)
	}
	for _, version := range []int64{1, 2, 2, 1} {
		a.Update(&core.Document{Version: version})
	}
	is.Equal(before, []int64{1, 2})
	is.Equal(after, []int64{1, 2})
}
