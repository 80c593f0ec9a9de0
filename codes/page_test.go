package codes_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/codes"
)

// updatePage makes the test write the page instead of checking it.
var updatePage = flag.Bool("update", false, "update the table in docs/CODES.md")

// The page, and the line after which its table starts.
const (
	pagePath    = "../docs/CODES.md"
	tableMarker = "<!-- The table is written by go test ./codes -update. -->\n"
)

// renderTable formats [codes.Table] as a Markdown table.
func renderTable() string {
	var b strings.Builder
	b.WriteString("| code | name | HTTP status | run | meaning |\n|---|---|---|---|---|\n")
	for _, c := range slices.Sorted(maps.Keys(codes.Table)) {
		info := c.Info()
		fmt.Fprintf(&b, "| %d | `%s` | %d | `%s` | %s |\n", c, info.Name, info.Status, info.Run, info.Meaning)
	}
	return b.String()
}

// TestCodesPageIsUpToDate checks that docs/CODES.md matches [codes.Table], or
// updates it with -update.
func TestCodesPageIsUpToDate(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(pagePath)
	is.NoErr(err)
	head, rest, ok := strings.Cut(string(data), tableMarker)
	is.True(ok)
	if *updatePage {
		is.NoErr(os.WriteFile(pagePath, []byte(head+tableMarker+renderTable()), 0o600))
		return
	}
	is.Equal(rest, renderTable())
}

// TestCodeNamesAreUnique checks that no two codes have the same name.
func TestCodeNamesAreUnique(t *testing.T) {
	seen := make(map[string]bool)
	for c := range codes.Table {
		name := c.String()
		is.New(t).True(!seen[name])
		seen[name] = true
	}
}
