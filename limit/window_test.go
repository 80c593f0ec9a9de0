package limit_test

import (
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/limit"
)

// TestWindow sends first requests at 1 s and counts the extra sends allowed later.
func TestWindow(t *testing.T) {
	q := limit.Quota{Span: 10 * clock.Second, Ratio: 0.2, Allowance: 3}
	cases := map[string]struct {
		first int
		at    clock.Millis
		want  int
	}{
		"allowance only":                      {0, 0, 3},
		"allowance and ratio of the requests": {50, 0, 13},
		"requests at the end of the span":     {50, 9900, 13},
		"requests older than the span":        {50, 21000, 3},
		"requests much older than the span":   {50, 10_000_000, 3},
		"ratio below one whole send":          {4, 0, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var w limit.Window
			for range c.first {
				w.CountFirst(1000, q)
			}
			spent := 0
			for w.Spend(1000+c.at, q, 1) {
				spent++
			}
			is.Equal(spent, c.want)
		})
	}
}

// TestWindowSlides spends the whole quota all the time. No span of the window's length
// may contain more extra sends than the quota allows.
func TestWindowSlides(t *testing.T) {
	is := is.New(t)
	q := limit.Quota{Span: 10 * clock.Second, Ratio: 0.2, Allowance: 10}
	var w limit.Window
	var spent []clock.Millis
	for now := clock.Millis(0); now < 60*clock.Second; now += 37 {
		for w.Spend(now, q, 1) {
			spent = append(spent, now)
		}
	}
	for i := range spent {
		n := 0
		for _, at := range spent[i:] {
			if at < spent[i]+q.Span {
				n++
			}
		}
		is.True(n <= 10)
	}
	is.True(len(spent) >= 50)
}

func TestZeroWindowAllowsNothing(t *testing.T) {
	var w limit.Window
	is.New(t).True(!w.Spend(0, limit.Quota{}, 1))
}

// TestReturnedSendsAllowNoMore guards against retries that are given back some seconds after
// they were taken and then allow more than the quota within one window.
func TestReturnedSendsAllowNoMore(t *testing.T) {
	is := is.New(t)
	q := limit.Quota{Span: 10 * clock.Second, Allowance: 10}
	var w limit.Window
	is.True(w.Spend(1000, q, 10))
	w.Return(1000, 7000, q, 10) // none of them was made
	is.True(w.Spend(7000, q, 10))
	for now := clock.Millis(7000); now < 17_000; now += 100 {
		is.True(!w.Spend(now, q, 1))
	}
	is.True(w.Spend(18_000, q, 10))
	w.Return(7000, 40_000, q, 10) // too late to matter
	is.True(w.Spend(40_000, q, 10))
	is.True(!w.Spend(40_000, q, 1))
}
