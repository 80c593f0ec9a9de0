package watch

import "lacewinghook.example/lacewinghook/clock"

// Turn is an entry's place in the order in which the entries read the store.
type Turn struct {
	// Ahead is the number of entries that come before this one.
	Ahead int
	// Relayed is set if entries report to some others only, and so pass on what
	// they learn. The first maxReaders entries then read for all.
	Relayed bool
	// Drain is how long after the store has accepted that a replica leaves a request
	// may still be sent there; zero means the shortest that is known, minDrain.
	Drain clock.Millis
}

// Times of the turns.
const (
	// Each entry that comes before this one delays its read, up to maxReadDelay, so
	// that the read of that one is reported first. The sum with maxFleetAge and the
	// read itself stays well below minDrain.
	delayPerEntryAhead clock.Millis = 250
	maxReadDelay       clock.Millis = 500
	minDrain           clock.Millis = 2000
	// With relayed reads, maxReaders entries read in turns of relayedTurn. The others
	// read only if none of these has been heard of until relayedMargin before the
	// end of Drain, in which they read and tell. maxRelayedDelay is below minOutage:
	// readers that are cut off from the store must not look like an outage of it.
	maxReaders                   = 3
	relayedTurn     clock.Millis = 400
	relayedMargin   clock.Millis = 1000
	maxRelayedDelay clock.Millis = 1500
	// hopDelay is added to the age of a relayed read for the time of the message. It
	// exceeds the usual one, so that a read doesn't look more recent with each hop.
	hopDelay clock.Millis = 100
)

// reader reports whether this entry reads the store by itself, and not only when it
// hears of no read.
func (t Turn) reader() bool { return !t.Relayed || t.Ahead < maxReaders }

// first reports whether this entry reads the store before all others that rely on its reads.
func (t Turn) first() bool { return t.Relayed && t.Ahead == 0 }

// Delay returns how much later than the first one this entry reads the list of
// replicas.
func (t Turn) Delay() clock.Millis {
	if !t.Relayed {
		return min(delayPerEntryAhead*clock.Millis(t.Ahead), maxReadDelay)
	}
	if t.reader() {
		return relayedTurn * clock.Millis(t.Ahead)
	}
	latest := min(max(t.Drain, minDrain)-maxFleetAge-relayedMargin, maxRelayedDelay)
	// One millisecond each keeps them from reading at the same moment.
	return max(latest, maxReadDelay) + clock.Millis(t.Ahead)
}

// turn returns this entry's turn; without peers it is the first.
func (w *Watcher) turn() Turn {
	if w.Peers == nil {
		return Turn{}
	}
	return w.Peers.Turn()
}

// relayed reports whether entries report to some others only.
func (w *Watcher) relayed() bool { return w.Peers != nil && w.Peers.Relayed() }
