package route

import "lacewinghook.example/lacewinghook/clock"

// Gate decides whether a call leaves the data centre of the entry that sends it.
type Gate interface {
	Leaves(t Trip) bool
}

// Trip holds the inputs for the decision of a [Gate]. Times without an instant are in
// milliseconds.
type Trip struct {
	Service, Origin string
	Now             clock.Millis
	// Inside and Outside are the predicted times at the best replica in the data centre and
	// outside of it, without the price of distance. They are infinite if no replica may be
	// used; a replica outside may be used only if it has room.
	Inside, Outside float64
	// Target is the time left until the answer is wanted, and Waited the time since the call
	// arrived.
	Target, Waited float64
	// Draw is a random number in [0, 1), the same for all decisions on a call.
	Draw float64
}
