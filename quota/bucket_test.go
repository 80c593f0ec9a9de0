package quota_test

import (
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/quota"
)

// bucketLimit earns a token each millisecond and holds 1,000.
var bucketLimit = core.Limit{Rate: 1000, Burst: 1000, Tokens: true}

// TestBucketRefills guards against buckets that start full after a restart, or hold more
// than the burst.
func TestBucketRefills(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	b := quota.NewBucket(bucketLimit, 0, m.Now())
	is.True(!b.Take(1))
	m.Advance(400)
	b.Advance(bucketLimit, m.Now())
	is.True(!b.Take(401))
	is.True(b.Take(400))
	m.Advance(5000)
	b.Advance(bucketLimit, m.Now())
	is.Equal(b.Level(), 1000.0)
	is.Equal(b.TakeSpare(800), 500.0) // spare tokens leave it half full
	lowered := core.Limit{Rate: 100, Burst: 50, Tokens: true}
	b.Advance(lowered, m.Now())
	is.Equal(b.Level(), 50.0)
	is.True(b.Take(80)) // costs more than the bucket holds
	m.Advance(200)
	b.Advance(lowered, m.Now())
	is.True(!b.Take(1)) // until its tokens are earned
}

// TestBucketReturn guards against returns that add tokens which the bucket would have lost
// because it was full, or that were taken from another bucket.
func TestBucketReturn(t *testing.T) {
	for name, tc := range map[string]struct {
		wait clock.Millis // between the grant and the return
		want float64
	}{
		"at once":                  {0, 1000},
		"while it refills":         {300, 1000},
		"of one that was refilled": {700, 500},
		"of one that was full":     {3000, 500},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := &clock.Manual{}
			b := quota.NewBucket(bucketLimit, 1000, m.Now())
			m.Advance(1000)
			b.Advance(bucketLimit, m.Now())
			is.True(b.Take(600))
			m.Advance(tc.wait)
			b.Advance(bucketLimit, m.Now())
			if tc.want < 1000 {
				is.True(b.Take(500)) // there is room now, but not for what was lost
			}
			b.Return(600, tc.wait)
			is.Equal(b.Level(), tc.want)
		})
	}
	is := is.New(t)
	m := &clock.Manual{}
	m.Advance(5000)
	b := quota.NewBucket(bucketLimit, 0, m.Now())
	m.Advance(300)
	b.Advance(bucketLimit, m.Now())
	b.Return(500, 1000)
	is.Equal(b.Level(), 300.0) // granted before this bucket
	// Taken and returned again, the same room is used once.
	is.True(b.Take(300))
	m.Advance(100)
	b.Advance(bucketLimit, m.Now())
	b.Return(300, 100)
	is.Equal(b.Level(), 400.0)
}

// TestBucketReturnKeepsBound guards against windows that run more than the rate and one
// burst: tokens are held for seconds, while the bucket refills, and then returned.
func TestBucketReturnKeepsBound(t *testing.T) {
	is := is.New(t)
	m := &clock.Manual{}
	b := quota.NewBucket(bucketLimit, 1000, m.Now())
	m.Advance(1000)
	b.Advance(bucketLimit, m.Now())
	is.True(b.Take(1000)) // a request that waits and won't run
	m.Advance(5000)       // full again
	b.Advance(bucketLimit, m.Now())
	is.True(b.Take(1000))
	b.Return(1000, 5000)
	is.Equal(b.Level(), 0.0) // its tokens were earned again meanwhile, and not lost
}

// TestRefuseSpreads guards against refused callers that all return at the same instant.
func TestRefuseSpreads(t *testing.T) {
	is := is.New(t)
	b := quota.NewBucket(bucketLimit, 0, 0)
	is.Equal(b.Refuse(500), clock.Millis(501))
	is.Equal(b.Refuse(500), clock.Millis(1001))
	is.Equal(b.Refuse(500), clock.Millis(1501))
}

// TestTakeShareAdmitsItsShare guards against entries that admit nothing, or too much, of
// requests that cost more than the share of one entry.
func TestTakeShareAdmitsItsShare(t *testing.T) {
	is := is.New(t)
	const entries, share, cost = 1000, 400.0, 3300.0
	admitted := 0.0
	for i := range entries {
		b := quota.NewBucket(core.Limit{Rate: 50, Burst: share, Tokens: true}, share, 0)
		if b.TakeShare(cost, float64(i)/entries) {
			admitted += cost
		}
		is.True(!b.TakeShare(cost, float64(i)/entries+1e-9))
	}
	is.True(admitted > 0.99*entries*share && admitted < 1.01*entries*share)
}

// TestLease guards against leases that are used after their end, and against leases for
// demand of less than two requests, which cost more messages than they save.
func TestLease(t *testing.T) {
	is := is.New(t)
	l := quota.Lease{Tokens: 500, Until: 600}
	is.True(l.Take(200, 599))
	is.True(!l.Take(400, 599))
	is.True(!l.Take(200, 600))
	var rare, often quota.Demand
	for now := clock.Millis(0); now < 10*clock.Second; now += 10 {
		often.Add(200, now)
		if now%1000 == 0 {
			rare.Add(3300, now)
		}
	}
	is.Equal(rare.Expected(500), 0.0)
	is.True(often.Expected(500) > 9000 && often.Expected(500) < 11000)
}

// TestPolicy guards against shares that exceed what the limit leaves beside the owner.
func TestPolicy(t *testing.T) {
	is := is.New(t)
	p := quota.Policy{Span: 8000, Overshoot: 0.1, Slack: 140_000}
	is.Equal(p.Lease(), clock.Millis(500))
	l := core.Limit{Rate: 300_000, Burst: 300_000, Tokens: true}
	// Of the 260,000 tokens beyond the rate, the burst and the leases, half is the owner's.
	is.True(p.Spare(l) > 129_999 && p.Spare(l) < 130_001)
	is.Equal(p.Tolerated(l).Burst, l.Burst)
	is.True(p.Tolerated(l).Rate > 316_249 && p.Tolerated(l).Rate < 316_251)
	is.Equal(quota.Policy{}.Lease(), clock.Millis(500))
	calls := core.Limit{Rate: 100, Burst: 100}
	is.True(p.Spare(calls) > 19.9 && p.Spare(calls) < 20.1) // no slack
	for _, n := range []int{1, 3, 330} {
		s := p.Share(l, n)
		is.True((s.Burst+8*s.Rate)*float64(n) <= p.Spare(l))
	}
}

// TestRequestsBeyondTheLimit guards against requests that count as within the limit, or are
// refused, while they are tolerated beyond it.
func TestRequestsBeyondTheLimit(t *testing.T) {
	is := is.New(t)
	l := core.Limit{Rate: 1000, Burst: 1000, Tokens: true}
	table := quota.Table{Limits: func(string) (core.Limit, bool) { return l, true }, Policy: quota.Policy{Span: 8000, Overshoot: 0.1, Slack: 16_000}}
	within, over, refused := 0, 0, 0
	const seconds = 20
	for now := clock.Millis(0); now < seconds*clock.Second; now += 10 {
		g := table.Decide(quota.Item{Workspace: "w", Costs: []float64{100}}, 0, 0, now)
		switch {
		case len(g.Refused) > 0:
			refused++
		case len(g.Over) > 0:
			over++
		default:
			within++
		}
	}
	// The rate is ten requests a second. Beyond it, half of the tolerance of about 16,000
	// tokens is used in 8 s, which are ten more.
	is.True(within > 9*seconds && within < 12*seconds)
	is.True(over > 9*seconds && over < 12*seconds)
	is.True(refused > 70*seconds)
}
