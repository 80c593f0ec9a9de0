package route

import "lacewinghook.example/lacewinghook/clock"

// Candidate is an upstream as the choice sees it.
type Candidate struct {
	Name   string
	Centre string
	// Queue counts the prompt tokens that wait or are being computed.
	Queue int
	// Running counts the requests under way.
	Running int
	// Pieces and Free count pieces of decode memory.
	Pieces int
	Free   int
	// Hits counts the prompt's leading blocks that a prefill has cached.
	Hits int
	// Speed is the prompt tokens that a prefill of this group usually computes
	// in a millisecond, First the usual time of a decode from its call to the
	// first token, and Step that of one token, in milliseconds.
	Speed float64
	First float64
	Step  float64
	// Rate is that of the link in bytes a millisecond, zero for no limit, and
	// Moving the bytes that are in flight on it.
	Rate   int64
	Moving int64
	// Slow is how many times slower than its peers the upstream is seen to
	// be; zero and one are as fast.
	Slow float64
}

// Query is the request as the choice sees it.
type Query struct {
	Tokens int
	Pieces int
	// Output counts the tokens still to be decoded.
	Output int
	// Bytes is the size of the prompt's KV cache.
	Bytes  int64
	Centre string
	// MaxQueue, if not zero, leaves out prefills with a longer wait.
	MaxQueue clock.Millis
	// Draw is a random number, so that choices themselves stay pure.
	Draw uint64
	// Export says that the prompt is computed already: only the decode counts.
	Export bool
}

// Choice holds the places of the chosen ones among the candidates.
type Choice struct {
	Prefill int
	Decode  int
	// Wait is the predicted time to the first token, and Queue the part of it
	// that is spent before the prefill begins.
	Wait  clock.Millis
	Queue clock.Millis
	// Tokens counts the prompt tokens that are not expected to be cached.
	Tokens int
	// Fill is the share of the decode upstream's memory that is taken.
	Fill float64
	// Direct says that the decode upstream computes the prompt itself, so
	// that there is no prefill.
	Direct bool
}

// possible reports whether each side that is needed has a candidate.
func (q *Query) possible(prefills, decodes []Candidate) bool {
	return len(decodes) > 0 && (q.Export || len(prefills) > 0)
}

// Random chooses any pair. It is a baseline for comparison.
type Random struct{}

// Choose returns a random pair; ok is false if a side has no candidate.
func (Random) Choose(q Query, prefills, decodes []Candidate) (c Choice, ok bool) {
	if !q.possible(prefills, decodes) {
		return Choice{}, false
	}
	c.Tokens = q.Tokens
	if len(prefills) > 0 {
		c.Prefill = int(q.Draw % uint64(len(prefills)))
	}
	c.Decode = int((q.Draw >> 32) % uint64(len(decodes)))
	return c, true
}

// Least chooses the prefill with the shortest queue and the decode with the
// most free memory. It is a baseline for comparison.
type Least struct{}

// Choose returns the least loaded pair; ok is false if a side has no
// candidate.
func (Least) Choose(q Query, prefills, decodes []Candidate) (c Choice, ok bool) {
	if !q.possible(prefills, decodes) {
		return Choice{}, false
	}
	c.Tokens = q.Tokens
	for i := range prefills {
		if prefills[i].Queue < prefills[c.Prefill].Queue {
			c.Prefill = i
		}
	}
	for i := range decodes {
		if decodes[i].Free > decodes[c.Decode].Free {
			c.Decode = i
		}
	}
	return c, true
}
