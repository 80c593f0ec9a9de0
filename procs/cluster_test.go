package procs

import (
	"testing"

	"github.com/matryer/is"
)

func TestRangesOfPortsAreReserved(t *testing.T) {
	is := is.New(t)
	first, a := reservePorts()
	second, b := reservePorts()
	is.True(a != b) // nobody listens in the first range yet
	is.NoErr(first.Close())
	third, c := reservePorts()
	is.Equal(c, a) // it is free again
	is.NoErr(second.Close())
	is.NoErr(third.Close())
}
