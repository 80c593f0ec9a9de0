package taint_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/taint"
)

// Parts of prompts. bad crashes upstreams; house and style are innocent.
const (
	bad   = 0xbad
	house = 0x40
	style = 0x57
)

// fleet is some entries that exchange their suspects.
type fleet struct {
	clock   clock.Clock
	manual  *clock.Manual
	entries []*taint.Table
	crashes int
}

// newFleet returns n entries.
func newFleet(n int) *fleet {
	m := &clock.Manual{}
	f := &fleet{manual: m, clock: clock.Clock{Manual: m}}
	m.Advance(clock.Minute)
	for i := range n {
		f.entries = append(f.entries, &taint.Table{Self: fmt.Sprint("edge-", i), Clock: f.clock, Meter: &meter.Registry{}})
	}
	return f
}

// tell has each entry send its suspects to all others.
func (f *fleet) tell() {
	for _, from := range f.entries {
		for _, to := range f.entries {
			to.Merge(from.Suspects())
		}
	}
}

// crash has entry i lose a request in a crash of another upstream.
func (f *fleet) crash(i int, request uint64, parts ...uint64) {
	f.lose(i, f.entries[i].Mark(), request, parts...)
}

// lose is like crash, of a request that was sent at the mark.
func (f *fleet) lose(i int, mark, request uint64, parts ...uint64) {
	f.crashes++
	f.entries[i].AddCrash(taint.Loss{Upstream: fmt.Sprint("g-", f.crashes), Boot: "1", Digest: request, Parts: parts, Mark: mark})
	f.manual.Advance(100)
}

// rejects reports whether entry i rejects a request with the parts.
func (f *fleet) rejects(i int, parts ...uint64) bool {
	_, _, ok := f.entries[i].Quarantined(parts)
	return ok
}

// TestThreeCrashesQuarantineAPart checks that three crashes, one after the other, are
// enough for all entries, whatever else the requests hold.
func TestThreeCrashesQuarantineAPart(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for i := range 3 {
		is.True(!f.rejects(i, house, bad))
		f.crash(i, uint64(i), uint64(0x100+i), bad)
		f.tell()
	}
	for i := range 3 {
		is.True(f.rejects(i, bad))
		is.True(f.rejects(i, house, bad, style))
		is.True(!f.rejects(i, house))
		is.True(!f.rejects(i, 0x100))
		is.True(!f.rejects(i))
	}
}

// TestPartsOfDeadlyPromptsAreServed checks that requests that share all other parts with
// deadly ones are served, and that once one was, the deadly part alone suffices.
func TestPartsOfDeadlyPromptsAreServed(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for i := range 3 {
		f.crash(i%2, uint64(i), house, bad, style)
		f.tell()
	}
	is.True(f.rejects(0, house, bad, style))
	is.True(!f.rejects(0, house, style))
	is.True(!f.rejects(0, bad, style)) // it may be the house that crashes them
	f.entries[1].Clear([]uint64{house, style})
	f.tell()
	is.True(f.rejects(0, bad))
	is.True(!f.rejects(0, house, style))
}

// TestTwoDeadlyPartsOfOneCaller checks that the part that two deadly parts have in common
// isn't quarantined for both of them, although nobody uses it without them.
func TestTwoDeadlyPartsOfOneCaller(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for i := range 6 {
		f.crash(i%2, uint64(i), house, uint64(0xbad0+i/3), uint64(0x100+i))
		f.tell()
	}
	for i := range 2 {
		is.True(f.rejects(i, house, 0xbad0, 0x200))
		is.True(f.rejects(i, house, 0xbad1, 0x200))
		is.True(!f.rejects(i, house, 0x200))
	}
}

// share has one crash lose several requests, each at another entry.
func (f *fleet) share(request uint64, prompts ...[]uint64) {
	f.crashes++
	for i, parts := range prompts {
		e := f.entries[(i+f.crashes)%len(f.entries)]
		e.AddCrash(taint.Loss{Upstream: fmt.Sprint("g-", f.crashes), Boot: "1", Digest: request + uint64(i), Parts: parts, Mark: e.Mark()})
	}
	f.manual.Advance(100)
}

// TestPartsOfVictimsAreNotQuarantined guards against the rejection of sound requests that
// were lost in the same crashes as deadly ones, and with it all others of their caller.
func TestPartsOfVictimsAreNotQuarantined(t *testing.T) {
	sound, deadly := []uint64{house, style}, []uint64{house, bad}
	for name, prompts := range map[string][][]uint64{
		"one of each":     {deadly, sound},
		"the sound first": {sound, deadly, sound},
		"more victims":    {deadly, sound, {house, 0x58}, {0x59}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(3)
			for _, e := range f.entries {
				e.Clear([]uint64{house, style, 0x58, 0x59}) // as outside of trouble
			}
			for i := range 3 {
				f.share(uint64(0x1000*i), prompts...)
				f.tell()
			}
			for i := range f.entries {
				is.True(f.rejects(i, deadly...))
				for _, parts := range [][]uint64{sound, {house}, {house, 0x58}, {0x59}} {
					is.True(!f.rejects(i, parts...))
				}
			}
		})
	}
}

// TestVictimsThatNobodyKnows checks that the part of a victim that no entry has seen
// answered isn't quarantined, as the deadly part met more crashes than it.
func TestVictimsThatNobodyKnows(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for i := range 5 {
		prompts := [][]uint64{{house, bad}, {0x60, style}}
		if i == 0 {
			prompts = prompts[:1]
		}
		f.share(uint64(0x1000*i), prompts...)
		f.tell()
	}
	for i := range f.entries {
		is.True(f.rejects(i, house, bad))
		is.True(!f.rejects(i, 0x60, style))
		is.True(!f.rejects(i, house, style))
	}
}

// TestInnocentPartsAreNotQuarantined lists what must not quarantine a part.
func TestInnocentPartsAreNotQuarantined(t *testing.T) {
	for name, lose := range map[string]func(f *fleet){
		"two crashes": func(f *fleet) {
			for i := range 2 {
				f.crash(0, uint64(i), house)
			}
		},
		"one request, sent again and again": func(f *fleet) {
			for range 5 {
				f.crash(0, 1, house)
			}
		},
		"many crashes at once": func(f *fleet) {
			mark := f.entries[0].Mark()
			for i := range 10 {
				f.lose(0, mark, uint64(i), house)
			}
		},
		"many crashes at once, three times": func(f *fleet) {
			for range 3 {
				mark := f.entries[0].Mark()
				for i := range 100 {
					f.lose(0, mark, uint64(i), house, uint64(0x100+i))
				}
				f.entries[0].Clear([]uint64{house})
			}
		},
		"one crash that loses many requests": func(f *fleet) {
			for i := range 5 {
				f.entries[0].AddCrash(taint.Loss{Upstream: "g", Boot: "1", Digest: uint64(i), Parts: []uint64{house}, Mark: f.entries[0].Mark()})
			}
		},
		"an answer in between, at another entry": func(f *fleet) {
			for i := range 4 {
				f.crash(0, uint64(i), house)
				f.tell()
				if i == 1 {
					f.entries[1].Clear([]uint64{house})
					f.tell()
				}
			}
		},
		"crashes that only another entry has seen": func(f *fleet) {
			for i := range 5 {
				f.crash(1, uint64(i), house)
			}
		},
		"crashes of long ago": func(f *fleet) {
			for i := range 3 {
				f.crash(0, uint64(i), house)
				f.manual.Advance(20 * clock.Minute)
				f.sweep()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2)
			lose(f)
			f.tell()
			is.New(t).True(!f.rejects(0, house))
		})
	}
}

// sweep lets all entries remove what has expired.
func (f *fleet) sweep() {
	for _, e := range f.entries {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { e.Run(ctx); close(done) }()
		for f.manual.Pending() == 0 {
			_ = clock.Clock{}.Sleep(ctx, 1)
		}
		f.manual.Advance(2 * clock.Second)
		cancel()
		<-done
	}
}

// TestAnswerLiftsQuarantine checks that a request that is answered although its part is in
// quarantine, since it was sent before, lifts it everywhere, also if delayed messages
// bring the crashes again.
func TestAnswerLiftsQuarantine(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for i := range 3 {
		f.crash(i, uint64(i), house)
		f.tell()
	}
	is.True(f.rejects(2, house))
	delayed := f.entries[0].Suspects()
	f.entries[1].Clear([]uint64{house})
	f.tell()
	f.entries[2].Merge(delayed)
	f.tell()
	for i := range 3 {
		is.True(!f.rejects(i, house))
	}
}

// TestQuarantineEnds checks that a quarantine ends at all entries an hour after the last
// crash, however often they tell each other of it.
func TestQuarantineEnds(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for i := range 3 {
		f.crash(i%2, uint64(i), bad)
		f.tell()
	}
	for range 59 {
		f.manual.Advance(clock.Minute)
		f.tell()
	}
	is.True(f.rejects(0, bad) && f.rejects(1, bad))
	f.manual.Advance(clock.Minute)
	f.tell()
	is.True(!f.rejects(0, bad) && !f.rejects(1, bad))
	f.sweep()
	is.Equal(f.entries[0].Sum(), uint64(0))
}

// TestOrderOfMessagesDoesNotMatter plays random crashes, answers and messages, of which
// some are lost, late or doubled, at four entries. Once all have told each other all they
// know the same, and only the deadly part is quarantined.
func TestOrderOfMessagesDoesNotMatter(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(4)
		var late [][]taint.Suspect
		for range 120 {
			i, request := r.IntN(4), r.Uint64()
			switch e := f.entries[i]; r.IntN(6) {
			case 0:
				f.crash(i, request, house, bad, 0x100+r.Uint64N(3))
			case 1:
				e.Clear([]uint64{house, style, 0x100 + r.Uint64N(3)})
			case 2:
				late = append(late, e.Suspects())
			case 3:
				f.crash(i, request, style) // of another cause
				f.entries[r.IntN(4)].Clear([]uint64{style})
			default:
				if len(late) > 0 {
					f.entries[r.IntN(4)].Merge(late[r.IntN(len(late))])
				}
			}
		}
		for range 3 {
			f.tell()
		}
		for i := range 3 {
			f.crash(i, uint64(i), house, bad)
			f.tell()
		}
		for _, e := range f.entries {
			e.Clear([]uint64{house, style, 0x100, 0x101, 0x102})
		}
		f.tell()
		f.tell()
		for i, e := range f.entries {
			is := is.New(t)
			is.Equal(e.Sum(), f.entries[0].Sum())
			is.True(f.rejects(i, bad) && f.rejects(i, house, bad))
			is.True(!f.rejects(i, house, style, 0x100, 0x101, 0x102))
		}
	}
}

// newWholeFleet returns n entries whose suspects are whole requests.
func newWholeFleet(n int) *fleet {
	f := newFleet(n)
	for _, e := range f.entries {
		e.Whole = true
	}
	return f
}

// TestRequestsInUseAreNotQuarantined guards against the rejection of a request that is in
// flight all the time, as that for one path, and so meets each crash of an upstream.
func TestRequestsInUseAreNotQuarantined(t *testing.T) {
	is := is.New(t)
	f := newWholeFleet(3)
	for i := range 20 {
		f.crash(i%3, house, house)
		f.tell()
		f.entries[(i+1)%3].Clear([]uint64{house}) // the other upstreams answer it
		f.tell()
		for i := range 3 {
			is.True(!f.rejects(i, house))
		}
	}
}

// TestTrialsAreOneAtATime checks that the owner permits one trial until its outcome is known
// or its time is up, and that a crash in a trial counts as a further round also if the entry
// that sent it hadn't heard of the last one.
func TestTrialsAreOneAtATime(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	mark := f.entries[0].Mark()
	for i := range 3 {
		f.lose(0, mark, uint64(i), bad)
	}
	f.tell()
	owner, sender := f.entries[0], f.entries[1]
	is.Equal(sender.OnTrial([]uint64{house, bad}), []uint64{bad})
	is.Equal(len(sender.OnTrial([]uint64{house})), 0)
	f.crash(0, 3, bad) // of a request that was sent before; only the owner knows
	p := owner.Permit([]uint64{bad})
	is.True(p.Granted)
	is.True(!owner.Permit([]uint64{bad}).Granted)
	sender.Merge(p.Known)
	f.crash(1, 4, bad)
	is.True(!owner.Permit([]uint64{bad}).Granted) // it doesn't know the outcome
	f.tell()
	is.True(f.rejects(0, bad) && f.rejects(1, bad)) // the third round

	p = owner.Permit([]uint64{style})
	is.True(p.Granted)
	p = owner.Permit([]uint64{style})
	is.True(!p.Granted && p.Wait > 0)
	f.manual.Advance(p.Wait)
	is.True(owner.Permit([]uint64{style}).Granted) // the trial had no outcome
}

// TestAnswerInTrialClears checks that an innocent part is served again once its trial has
// been answered.
func TestAnswerInTrialClears(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	mark := f.entries[0].Mark()
	for i := range 5 {
		f.lose(0, mark, uint64(i), style)
	}
	f.tell()
	is.True(f.entries[0].Permit(f.entries[1].OnTrial([]uint64{style})).Granted)
	f.entries[1].Clear([]uint64{style})
	f.tell()
	for _, e := range f.entries {
		is.Equal(len(e.OnTrial([]uint64{style})), 0)
	}
}

// TestBounds checks that neither long prompts nor many crashes make the table, or a
// message, grow without bound, and that a deadly part isn't lost among others.
func TestBounds(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	var long []uint64
	for i := range 1000 {
		long = append(long, uint64(0x1000+i))
	}
	for i := range 2000 {
		if i%900 == 0 {
			f.crash(0, uint64(i), bad)
		}
		f.crash(0, uint64(i), slices.Concat([]uint64{uint64(0x100000 + i)}, long)...)
	}
	f.entries[1].Merge(f.entries[0].Suspects())
	is.True(f.rejects(0, bad))
	is.True(len(f.entries[0].Suspects()) <= 64)
	for _, s := range f.entries[0].Suspects() {
		is.True(len(s.Crashes) <= 8)
		for _, c := range s.Crashes {
			is.True(len(c.With) <= 8)
		}
	}
	is.True(allKnown(f.entries[0]) <= 600)
}

// allKnown returns the number of parts of which a table knows something.
func allKnown(e *taint.Table) int {
	n := 0
	for part := range uint64(0x200000) {
		if e.Knows(part) {
			n++
		}
	}
	return n
}

// TestOddMessages checks that messages with impossible values change nothing.
func TestOddMessages(t *testing.T) {
	c := taint.Crash{Upstream: "g", Entry: "edge-1", Round: 3}
	change := func(f func(*taint.Crash)) taint.Suspect {
		odd := c
		f(&odd)
		return taint.Suspect{Part: bad, Crashes: []taint.Crash{odd}}
	}
	for name, s := range map[string]taint.Suspect{
		"round 0":          change(func(c *taint.Crash) { c.Round = 0 }),
		"round 99":         change(func(c *taint.Crash) { c.Round = 99 }),
		"from the future":  change(func(c *taint.Crash) { c.Age = -1 }),
		"of a day ago":     change(func(c *taint.Crash) { c.Age = 24 * 60 * clock.Minute }),
		"a long name":      change(func(c *taint.Crash) { c.Entry = fmt.Sprintf("%1000d", 1) }),
		"too many crashes": {Part: bad, Crashes: slices.Repeat([]taint.Crash{c}, 9)},
		"too many parts":   change(func(c *taint.Crash) { c.With = make([]uint64, 9) }),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1)
			is := is.New(t)
			is.True(!f.entries[0].Merge([]taint.Suspect{s}))
			is.Equal(f.entries[0].Sum(), uint64(0))
		})
	}
}

// FuzzMerge merges what a peer may send, and checks that the table stays within its bounds
// and can be told to others.
func FuzzMerge(f *testing.F) {
	f.Add([]byte(`[{"part":1,"crashes":[{"upstream":"g","entry":"e","request":1,"round":3,"with":[2],"age":5}]}]`))
	f.Add([]byte(`[{"part":1,"epoch":4294967295,"age":1},{"part":1,"epoch":0}]`))
	f.Add([]byte(`[{"part":18446744073709551615,"crashes":[{"round":1,"age":9223372036854775807}]}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var list []taint.Suspect
		if json.Unmarshal(data, &list) != nil {
			return
		}
		is := is.New(t)
		fl := newFleet(2)
		fl.entries[0].Merge(list)
		for _, s := range fl.entries[0].Suspects() {
			is.True(len(s.Crashes) <= 8)
			fl.rejects(0, s.Part, 1, 2)
		}
		fl.entries[1].Merge(fl.entries[0].Suspects())
		fl.entries[0].Merge(fl.entries[1].Suspects())
		is.Equal(fl.entries[0].Sum(), fl.entries[1].Sum())
		is.Equal(len(fl.entries[0].View()), len(fl.entries[1].View()))
	})
}
