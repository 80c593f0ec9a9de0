package flight

import (
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
)

// TestDurations checks that the usual duration of a kind covers most of its requests,
// follows a change, and isn't known before the first one.
func TestDurations(t *testing.T) {
	is := is.New(t)
	var d Durations
	is.Equal(d.Usual("a"), clock.Millis(0))
	for i := range clock.Millis(100) {
		d.Observe("a", Size{}, 1000+20*i) // 1 s to 3 s
		d.Observe("b", Size{}, 50)
	}
	is.True(d.Usual("a") > 2800)
	is.Equal(d.Usual("b"), clock.Millis(100))
	for range 5 * maxCount {
		d.Observe("a", Size{}, 100)
	}
	is.True(d.Usual("a") < 250)
}

// TestLongestDuration checks that the longest of the last durations is known until many
// shorter ones have followed, and how many there were.
func TestLongestDuration(t *testing.T) {
	is := is.New(t)
	var d Durations
	longest, count := d.Longest("a", Size{}, 0)
	is.Equal(longest, clock.Millis(0))
	is.Equal(count, 0)
	d.Observe("a", Size{}, 5000)
	for range maxCount {
		d.Observe("a", Size{}, 100)
	}
	longest, count = d.Longest("a", Size{}, 0)
	is.Equal(longest, clock.Millis(5000))
	is.Equal(count, maxCount)
	for range 2 * maxCount {
		d.Observe("a", Size{}, 100)
	}
	longest, _ = d.Longest("a", Size{}, 0)
	is.Equal(longest, clock.Millis(100))
}

// TestLongestDurationOfLargerRequests guards against a stop that takes a request for as
// short as others that asked for less.
func TestLongestDurationOfLargerRequests(t *testing.T) {
	is := is.New(t)
	var d Durations
	d.Observe("a", Size{Prompt: 1000, Answer: 100}, 1000)
	d.Observe("a", Size{}, 100)
	for size, want := range map[Size]clock.Millis{
		{}:                          1000,
		{Prompt: 500, Answer: 50}:   1000,
		{Prompt: 1000, Answer: 250}: 2500,
		{Prompt: 4000, Answer: 250}: 4000,
		{Prompt: 1000}:              1000,
	} {
		longest, count := d.Longest("a", size, 0)
		is.Equal(longest, want)
		is.Equal(count, 2)
	}
	longest, _ := d.Longest("b", Size{Answer: 100}, 0)
	is.Equal(longest, clock.Millis(0))
}

// TestLongestDurationOfRunningRequests guards against a stop that knows only of the short
// requests, since the long ones have not ended yet.
func TestLongestDurationOfRunningRequests(t *testing.T) {
	is := is.New(t)
	var d Durations
	d.Observe("a", Size{}, 300)
	first, second := d.Start("a", 1000), d.Start("a", 5000)
	other := d.Start("b", 0)
	longest, count := d.Longest("a", Size{}, 6000)
	is.Equal(longest, clock.Millis(5000))
	is.Equal(count, 1)
	d.End(first)
	longest, _ = d.Longest("a", Size{}, 6000)
	is.Equal(longest, clock.Millis(1000))
	d.End(second)
	longest, _ = d.Longest("a", Size{}, 6000)
	is.Equal(longest, clock.Millis(300))
	d.End(other)
}
