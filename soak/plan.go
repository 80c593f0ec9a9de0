package soak

import (
	"math/rand/v2"
	"slices"

	"lacewinghook.example/lacewinghook/clock"
)

// Kind is a kind of fault or of planned work.
type Kind string

// Planned work, which harms no request.
const (
	// Term stops an entry with SIGTERM and starts it again, Roll does so with all
	// entries in turn.
	Term Kind = "term"
	Roll Kind = "roll"
	// Hup sends SIGHUP to an entry.
	Hup Kind = "hup"
	// Manifest publishes a new version, Storm many in a short time.
	Manifest Kind = "manifest"
	Storm    Kind = "storm"
	// Leave has a replica drain and end, and starts another one.
	Leave Kind = "leave"
	// Silent holds all bytes to and from a replica for about a second.
	Silent Kind = "silent"
	// Pause has a replica reject all requests with 503 and Retry-After for a time.
	Pause Kind = "pause"
	// Change publishes a version in the same moment as an entry gets SIGTERM or SIGHUP.
	Change Kind = "change"
)

// Failures.
const (
	// Kill ends an entry with SIGKILL and starts it again, Freeze stops it with SIGSTOP
	// for a time.
	Kill   Kind = "kill"
	Freeze Kind = "freeze"
	// StoreDown has the store refuse all calls. StoreSlow delays its answers, StoreLost
	// loses those to one entry, StoreCut cuts one entry off.
	StoreDown Kind = "store-down"
	StoreSlow Kind = "store-slow"
	StoreLost Kind = "store-lost"
	StoreCut  Kind = "store-cut"
	// StoreBack sets the store back to a copy of the moment at which the step begins.
	// Operators and replicas write their rows again.
	StoreBack Kind = "store-back"
	// Crash ends a replica without notice and starts another one.
	Crash Kind = "crash"
	// Odd has a replica answer wrongly, see [oddFaults].
	Odd Kind = "odd"
	// Reset resets the connections of a replica, OneWay holds one direction, Slow delays
	// both and Endless replaces answers by bytes without end.
	Reset   Kind = "reset"
	OneWay  Kind = "oneway"
	Slow    Kind = "slow"
	Endless Kind = "endless"
	// Deadly sends bursts of requests with a part of their prompts that crashes the engines
	// that begin to answer them.
	Deadly Kind = "deadly"
)

// Planned and Failures list all kinds.
var (
	Planned  = []Kind{Term, Roll, Hup, Manifest, Storm, Leave, Silent, Pause, Change}
	Failures = []Kind{Kill, Freeze, StoreDown, StoreSlow, StoreLost, StoreCut, Crash, Odd, Reset, OneWay, Slow, Endless, Deadly, StoreBack}
)

// Step is one step of a plan.
type Step struct {
	At   clock.Millis `json:"at"`
	Kind Kind         `json:"kind"`
	// Target selects the entry or replica, modulo their number, and For is how long the
	// step lasts.
	Target int          `json:"target"`
	For    clock.Millis `json:"for"`
	// Seed fixes further choices.
	Seed uint64 `json:"seed"`
}

// Times of a plan.
const (
	// warmUp is the time before the first step, calmDown that after the last one ends,
	// in which no fault excuses anything.
	warmUp   = 1 * clock.Second
	calmDown = 4 * clock.Second
	// seriesInterval is the mean time between two series, which overlap.
	seriesInterval clock.Millis = 1500
	// maxGap is the longest time between two steps of a series.
	maxGap clock.Millis = 700
	// maxSteps is the largest number of steps of a series.
	maxSteps = 5
	// shortest and longest limit how long a step lasts.
	shortest clock.Millis = 300
	longest  clock.Millis = 2500
)

// newPlan returns the steps of a run, in the order of their times. Half of all series
// and all of every third seed consist of planned work only.
func newPlan(o Options, seed uint64) []Step {
	r := rand.New(rand.NewPCG(seed, 1))
	only := func(kinds []Kind) []Kind {
		if len(o.Only) == 0 {
			return kinds
		}
		return slices.DeleteFunc(slices.Clone(kinds), func(k Kind) bool { return !slices.Contains(o.Only, k) })
	}
	planned, all := only(Planned), only(slices.Concat(Planned, Failures))
	back := slices.Contains(all, StoreBack)
	// It isn't drawn with the others, so that the plans of seeds that were noted stay.
	all = slices.DeleteFunc(all, func(k Kind) bool { return k == StoreBack })
	var steps []Step
	end := o.Duration - calmDown - longest
	// A series can't begin before the last entries have started.
	for at := warmUp; at < end; at += clock.Millis(r.Int64N(int64(2 * seriesInterval))) {
		kinds := all
		if len(planned) > 0 && (seed%3 == 0 || r.IntN(2) == 0) {
			kinds = planned
		}
		if len(kinds) == 0 {
			break
		}
		next := at
		for range 1 + r.IntN(maxSteps) {
			if next < end {
				steps = append(steps, Step{
					At: next, Kind: kinds[r.IntN(len(kinds))], Target: r.IntN(1 << 16),
					For: shortest + clock.Millis(r.Int64N(int64(longest-shortest))), Seed: r.Uint64(),
				})
			}
			next += clock.Millis(r.Int64N(int64(maxGap)))
		}
	}
	if slices.Contains(planned, Roll) && end > warmUp {
		// Each run has a roll, so that a short one also has entries that stop and start again.
		at := warmUp + clock.Millis(r.Int64N(int64(end-warmUp)/2))
		steps = append(steps, Step{At: at, Kind: Roll, Target: r.IntN(1 << 16), For: longest, Seed: r.Uint64()})
	}
	if back && end > warmUp && (seed%3 != 0 || len(o.Only) > 0) {
		r := rand.New(rand.NewPCG(seed, 5))
		for range 1 + r.IntN(2) {
			at := warmUp + clock.Millis(r.Int64N(int64(end-warmUp)))
			age := shortest + clock.Millis(r.Int64N(int64(longest-shortest)))
			steps = append(steps, Step{At: at, Kind: StoreBack, Target: r.IntN(1 << 16), For: age, Seed: r.Uint64()})
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}
