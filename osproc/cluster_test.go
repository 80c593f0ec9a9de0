package osproc

import (
	"strings"
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

// TestExitBeforeReady guards against a wait for a process that has exited, and against an
// error that doesn't tell why.
func TestExitBeforeReady(t *testing.T) {
	is := is.New(t)
	c := &Cluster{Dir: t.TempDir()}
	proc, err := Launch("service", "127.0.0.1:1", c.path("service.log"), "/bin/sh", "-c", "echo address in use; exit 1")
	is.NoErr(err)
	err = c.awaitProcess(t.Context(), proc, func() bool { return false })
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "address in use"))
}
