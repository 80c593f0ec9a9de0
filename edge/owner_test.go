package edge

import (
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/core"
)

// TestSilentOwnerIsPassedOver guards against requests on trial that are rejected as long as an
// entry that has ended is listed as the owner of the trials.
func TestSilentOwnerIsPassedOver(t *testing.T) {
	is := is.New(t)
	entries := []core.Instance{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	silent := make(map[string]bool)
	e := &Edge{Settings: &config.Settings{Instance: "self", Fleet: &config.Fleet{}}}
	var owners []string
	for range entries {
		owner := e.trialOwnerOf(entries)
		is.True(!silent[owner.Name])
		silent[owner.Name] = true
		e.trialFinder.PassOver(owner.Name, e.Clock.Now(), silentOwnerTime)
		owners = append(owners, owner.Name)
	}
	is.Equal(len(owners), 3)
	is.Equal(e.trialOwnerOf(entries).Name, "self")
}
