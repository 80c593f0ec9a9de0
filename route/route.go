package route

import "lacewinghook.example/lacewinghook/clock"

// Candidate is the state of an upstream that a choice depends on.
type Candidate struct {
	Name   string
	Centre string
	// QueuedTokens counts the prompt tokens that are queued or being computed.
	QueuedTokens int
	// Running counts the running requests.
	Running int
	// Pieces and Free count the total and the free pieces of decode memory.
	Pieces int
	Free   int
	// CachedBlocks counts the leading blocks of the prompt that a prefill
	// upstream has cached.
	CachedBlocks int
	// Speed is the usual prefill speed in the candidate's group, in prompt
	// tokens per millisecond.
	Speed float64
	// FirstToken is the usual time from the decode call to the first token, in
	// milliseconds.
	FirstToken float64
	// TokenTime is the usual time per further token, in milliseconds.
	TokenTime float64
	// LinkRate is the bandwidth of the link in bytes per millisecond; zero means
	// unlimited.
	LinkRate int64
	// TransferBytes counts the bytes in flight on the link.
	TransferBytes int64
	// Slowdown is the factor by which the upstream is slower than its peers;
	// zero and one mean equally fast.
	Slowdown float64
}

// Query is the part of a request that a choice depends on.
type Query struct {
	// Tokens counts the prompt tokens, and Pieces the pieces of decode memory that
	// the request needs.
	Tokens int
	Pieces int
	// Output counts the tokens still to be decoded.
	Output int
	// Bytes is the size of the prompt's KV cache.
	Bytes int64
	// Centre is the data centre of the entry.
	Centre string
	// MaxQueue, if not zero, excludes prefills with a longer queue, in
	// milliseconds of work.
	MaxQueue clock.Millis
	// Seed is a random number from the caller, so that the choice itself stays
	// a pure function.
	Seed uint64
	// Exported is set if the prompt is already computed, so that only a decode
	// upstream is needed.
	Exported bool
}

// Choice is the result of a selection. Prefill and Decode are indexes into the
// candidates.
type Choice struct {
	Prefill int
	Decode  int
	// FirstToken is the predicted time to first token, and Queue the part of it
	// that passes before the prefill starts.
	FirstToken clock.Millis
	Queue      clock.Millis
	// Tokens counts the prompt tokens that are expected not to be cached.
	Tokens int
	// Fill is the used share of the decode upstream's memory.
	Fill float64
	// Direct is set if the decode upstream computes the prompt itself. Prefill
	// is then unused.
	Direct bool
}

// hasCandidates reports whether each required role has a candidate.
func (q *Query) hasCandidates(prefills, decodes []Candidate) bool {
	return len(decodes) > 0 && (q.Exported || len(prefills) > 0)
}

// Random selects a random pair. It is a baseline for comparison.
type Random struct{}

// Choose returns a random pair. ok is false if a required role has no candidate.
func (Random) Choose(q Query, prefills, decodes []Candidate) (c Choice, ok bool) {
	if !q.hasCandidates(prefills, decodes) {
		return Choice{}, false
	}
	c.Tokens = q.Tokens
	if len(prefills) > 0 {
		c.Prefill = int(q.Seed % uint64(len(prefills)))
	}
	c.Decode = int((q.Seed >> 32) % uint64(len(decodes)))
	return c, true
}

// LeastLoaded selects the prefill with the shortest queue and the decode with the
// most free memory. It is a baseline for comparison.
type LeastLoaded struct{}

// Choose returns the least loaded pair. ok is false if a required role has no
// candidate.
func (LeastLoaded) Choose(q Query, prefills, decodes []Candidate) (c Choice, ok bool) {
	if !q.hasCandidates(prefills, decodes) {
		return Choice{}, false
	}
	c.Tokens = q.Tokens
	for i := range prefills {
		if prefills[i].QueuedTokens < prefills[c.Prefill].QueuedTokens {
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
