package edge

import (
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/core"
)

// TestSilentOwnerIsPassedOver guards against requests on trial that are rejected as long as an
// entry that has ended is listed as the owner of the trials.
func TestSilentOwnerIsPassedOver(t *testing.T) {
	is := is.New(t)
	entries := []core.Instance{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	silent := make(map[string]bool)
	isSilent := func(name string) bool { return silent[name] }
	var owners []string
	for range entries {
		owner := ownerOf(entries, core.Instance{Name: "self"}, isSilent)
		is.True(!silent[owner.Name])
		silent[owner.Name] = true
		owners = append(owners, owner.Name)
	}
	is.Equal(len(owners), 3)
	is.Equal(ownerOf(entries, core.Instance{Name: "self"}, isSilent).Name, "self")
}
