package clock_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
)

func TestManualRunsDueTimersInOrder(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	c := clock.Clock{Manual: m}
	var ran []int
	c.AfterFunc(20, func() { ran = append(ran, 20) })
	c.AfterFunc(10, func() { ran = append(ran, 10) })
	stop := c.AfterFunc(15, func() { ran = append(ran, 15) })
	is.True(stop())
	m.Advance(19)
	is.Equal(ran, []int{10})
	m.Advance(1)
	is.Equal(ran, []int{10, 20})
	is.Equal(m.Pending(), 0)
}

func TestSleepEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(clock.Clock{}.Sleep(ctx, clock.Minute), context.Canceled)
}
