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
		d.Observe("a", 1000+20*i) // 1 s to 3 s
		d.Observe("b", 50)
	}
	is.True(d.Usual("a") > 2800)
	is.Equal(d.Usual("b"), clock.Millis(100))
	for range 5 * maxCount {
		d.Observe("a", 100)
	}
	is.True(d.Usual("a") < 250)
}

// TestLongestDuration checks that the longest of the last durations is known until many
// shorter ones have followed, and how many there were.
func TestLongestDuration(t *testing.T) {
	is := is.New(t)
	var d Durations
	longest, count := d.Longest("a")
	is.Equal(longest, clock.Millis(0))
	is.Equal(count, 0)
	d.Observe("a", 5000)
	for range maxCount {
		d.Observe("a", 100)
	}
	longest, count = d.Longest("a")
	is.Equal(longest, clock.Millis(5000))
	is.Equal(count, maxCount)
	for range 2 * maxCount {
		d.Observe("a", 100)
	}
	longest, _ = d.Longest("a")
	is.Equal(longest, clock.Millis(100))
}
