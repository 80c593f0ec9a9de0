package slots_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/slots"
)

// oneSlot returns a desk for a group of two replicas with one slot each, which may have
// two calls in flight each.
func oneSlot() *slots.Desk {
	list := []slots.Replica{{Name: "d0", Slots: 1}, {Name: "d1", Slots: 1}}
	return &slots.Desk{Replicas: func(string, int) []slots.Replica { return list }}
}

// ask returns an ask for a slot now.
func ask(seq uint64) slots.Ask {
	return slots.Ask{Run: 1, Seq: seq, Entry: "e", Service: service, Target: target, Latest: deadline}
}

// fill takes all slots of oneSlot.
func fill(d *slots.Desk) {
	for seq := range uint64(4) {
		d.Serve(context.Background(), ask(100+seq))
	}
}

// end reports the end of an ask of a run.
func end(d *slots.Desk, run, seq uint64, o slots.Outcome) {
	d.HandleEnds(slots.Ends{Run: run, Ends: []slots.End{{Seq: seq, Outcome: o, Took: 60}}})
}

// TestWait checks what gives a slot to an ask that waits for 400 ms while all are taken.
func TestWait(t *testing.T) {
	for name, c := range map[string]struct {
		// after is when the ask is made after the slots were taken, and free is called
		// while it waits.
		after   clock.Millis
		free    func(d *slots.Desk)
		granted bool
	}{
		"nothing":                        {0, func(*slots.Desk) {}, false},
		"an end":                         {0, func(d *slots.Desk) { end(d, 1, 100, slots.Answered) }, true},
		"an end of an unknown call":      {0, func(d *slots.Desk) { end(d, 1, 7, slots.Answered) }, false},
		"a later batch after a lost one": {0, func(d *slots.Desk) { d.HandleEnds(slots.Ends{Run: 1, Oldest: 101}) }, true},
		"a refusal, after a time":        {0, func(d *slots.Desk) { end(d, 1, 100, slots.Refused) }, true},
		"a new run of the other entry":   {0, func(d *slots.Desk) { d.Serve(context.Background(), slots.Ask{Run: 2, Entry: "e", Service: service}) }, true},
		"the deadlines of the calls":     {deadline - 200, func(*slots.Desk) {}, true},
		"an end after the ask is withdrawn": {0, func(d *slots.Desk) {
			end(d, 3, 1, slots.Unused)
			end(d, 1, 100, slots.Answered)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				d := oneSlot()
				go d.Run(ctx)
				fill(d)
				is.Equal(d.Serve(ctx, ask(9)), slots.Answer{}) // it doesn't wait
				time.Sleep(c.after.Duration())
				answer := make(chan slots.Answer)
				go func() {
					a := ask(1)
					a.Run, a.Entry, a.Wait = 3, "f", 400
					answer <- d.Serve(ctx, a)
				}()
				time.Sleep(50 * time.Millisecond)
				c.free(d)
				is.Equal((<-answer).Replica != "", c.granted)
				time.Sleep((2 * deadline).Duration())
				is.Equal(d.InFlight(), 0) // nothing stays counted
			})
		})
	}
}

// TestLateAsk guards against a call that waits although it can't be answered in time, and
// against one that is refused by a prediction although a slot is free. The refusal must name
// a time to return.
func TestLateAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := oneSlot()
		a := ask(1)
		a.Target, a.Latest, a.Wait = 10, 10, 400
		is.True(d.Serve(t.Context(), a).Replica != "")
		fill(d)
		a.Seq = 2
		begin := time.Now()
		got := d.Serve(t.Context(), a)
		is.Equal(time.Since(begin), 0*time.Second)
		is.Equal(got.Code, codes.DeadlineUnmet)
		is.True(got.Retry >= 50)
	})
}

// TestExcluded checks that replicas which the entry excludes or that leave are used last,
// and those that it must not use not at all.
func TestExcluded(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		change func(a *slots.Ask)
		want   string
	}{
		{func(a *slots.Ask) { a.Exclude = []string{"d0"} }, "d1"},
		{func(a *slots.Ask) { a.Leaving = []string{"d1"} }, "d0"},
		{func(a *slots.Ask) { a.Exclude, a.Leaving = []string{"d0", "d1"}, []string{"d0"} }, "d1"},
		{func(a *slots.Ask) { a.Exclude, a.Barred = []string{"d0"}, []string{"d1"} }, "d0"},
	} {
		a := ask(1)
		c.change(&a)
		is.Equal(oneSlot().Serve(t.Context(), a).Replica, c.want)
	}
	a := ask(1)
	a.Barred = []string{"d0", "d1"}
	is.Equal(oneSlot().Serve(t.Context(), a).Code, codes.NoUpstream)
}
