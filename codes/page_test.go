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

var update = flag.Bool("update", false, "write the table of codes to its page")

const (
	page  = "../docs/CODES.md"
	begin = "<!-- The table is written by go test ./codes -update. -->\n"
)

func table() string {
	var b strings.Builder
	b.WriteString("| code | name | HTTP status | run | meaning |\n|---|---|---|---|---|\n")
	for _, c := range slices.Sorted(maps.Keys(codes.Table)) {
		info := c.Info()
		fmt.Fprintf(&b, "| %d | `%s` | %d | `%s` | %s |\n", c, info.Name, info.Status, info.Run, info.Meaning)
	}
	return b.String()
}

func TestPageHasTheTable(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(page)
	is.NoErr(err)
	head, rest, ok := strings.Cut(string(data), begin)
	is.True(ok)
	if *update {
		is.NoErr(os.WriteFile(page, []byte(head+begin+table()), 0o600))
		return
	}
	is.Equal(rest, table())
}

func TestNamesAreUsedOnce(t *testing.T) {
	seen := make(map[string]bool)
	for c := range codes.Table {
		name := c.String()
		is.New(t).True(!seen[name])
		seen[name] = true
	}
}
