package config_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/check"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/strict"
)

// TestExamplesAreValid checks the example settings and documents, and that each
// entry has its own address for callers.
func TestExamplesAreValid(t *testing.T) {
	for _, region := range []string{"sask-south", "ost-alpen"} {
		t.Run(region, func(t *testing.T) {
			is := is.New(t)
			files, err := filepath.Glob(filepath.Join("..", "examples", region, "*-[1-3].json"))
			is.NoErr(err)
			is.Equal(len(files), 9)
			listens := make(map[string]bool)
			for _, file := range files {
				s, err := config.Read(file)
				is.NoErr(err)
				listens[s.Callers.Listen] = true
			}
			is.Equal(len(listens), 9)
			data, err := os.ReadFile(filepath.Join("..", "examples", region, "document.json"))
			is.NoErr(err)
			doc := &core.Document{}
			is.NoErr(strict.Decode(data, doc).Err())
			is.NoErr(check.Document(doc))
		})
	}
}
