package assign_test

import (
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/assign"
)

// TestGroupCount checks that the number of groups doesn't change when a few upstreams
// join or leave a site of a usual size.
func TestGroupCount(t *testing.T) {
	is := is.New(t)
	is.Equal(assign.GroupCount(0), 0)
	is.Equal(assign.GroupCount(1), 1)
	for _, n := range []int{12, 56, 90, 112, 240} {
		is.Equal(assign.GroupCount(n-n/10), assign.GroupCount(n+n/10))
	}
}
