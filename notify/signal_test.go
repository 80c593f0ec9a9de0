package notify_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/notify"
)

func TestWaitEndsWithSignalTimeOrContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var s notify.Signal
	s.Send()
	s.Send() // merged with the first
	is.True(s.Wait(ctx, clock.Clock{}, clock.Minute))
	is.True(!s.Wait(ctx, clock.Clock{}, 1))
	cancel()
	is.True(!s.Wait(ctx, clock.Clock{}, clock.Minute))
}

func TestHighestVersionIgnoresLowerVersions(t *testing.T) {
	is := is.New(t)
	var h notify.HighestVersion
	h.Report(3, "a")
	h.Report(2, "b")
	version, peer := h.Get()
	is.Equal(version, int64(3))
	is.Equal(peer, "a")
}
