package osproc

import (
	"testing"

	"github.com/matryer/is"
)

func TestRangesOfPortsAreReserved(t *testing.T) {
	is := is.New(t)
	firstGuard, firstBase := reservePorts()
	secondGuard, secondBase := reservePorts()
	is.True(firstBase != secondBase) // only the guard port of the first range is in use
	is.NoErr(firstGuard.Close())
	thirdGuard, thirdBase := reservePorts()
	is.Equal(thirdBase, firstBase) // the range is free again
	is.NoErr(secondGuard.Close())
	is.NoErr(thirdGuard.Close())
}
