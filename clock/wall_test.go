package clock_test

import (
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
)

func TestAnAnchoredClockDoesNotStep(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	wall := clock.Millis(1_700_000_000_000)
	c := clock.Clock{Manual: m}
	a := clock.Anchored{Read: func() clock.Millis { return wall }}
	is.Equal(a.Wall(c), wall)
	wall += 2000
	m.Advance(100)
	is.Equal(a.Wall(c), clock.Millis(1_700_000_000_100))
	wall -= 9000
	m.Advance(100)
	is.Equal(a.Wall(c), clock.Millis(1_700_000_000_200))
}
