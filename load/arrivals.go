package load

import (
	"math/rand/v2"
	"strings"

	"lacewinghook.example/lacewinghook/clock"
)

// Arrival is one request of the load.
type Arrival struct {
	// At is the send time, relative to the start of the run.
	At clock.Millis
	// Crest is true if the request is sent during a phase of high demand.
	Crest  bool
	Class  *RequestClass
	Prompt string
	// OutputTokens is the number of tokens to generate.
	OutputTokens int
	// Index is the position among the arrivals of the run. The idempotency key
	// of an order is derived from it.
	Index int
}

// Arrivals returns the arrivals for seed, sorted by time. Interarrival times
// are exponentially distributed, with a rate that follows p.Swing.
func (p *Plan) Arrivals(seed uint64) []Arrival {
	rng := rand.New(rand.NewPCG(seed, seed))
	prefixes := make(map[string]string)
	var all []Arrival
	at := 0.0
	for {
		factor, _ := p.Swing.factorAt(clock.Millis(at))
		at += rng.ExpFloat64() * float64(clock.Second) / (p.ArrivalRate * factor)
		if clock.Millis(at) >= p.Duration {
			return all
		}
		arrival := Arrival{At: clock.Millis(at), Class: p.chooseClass(rng), Index: len(all)}
		_, arrival.Crest = p.Swing.factorAt(arrival.At)
		arrival.OutputTokens = arrival.Class.OutputTokens.random(rng)
		arrival.Prompt = arrival.Class.newPrompt(rng, prefixes)
		all = append(all, arrival)
	}
}

// chooseClass picks a class at random, weighted by Share.
func (p *Plan) chooseClass(rng *rand.Rand) *RequestClass {
	total := 0.0
	for i := range p.Classes {
		total += p.Classes[i].Share
	}
	x := rng.Float64() * total
	for i := range p.Classes {
		x -= p.Classes[i].Share
		if x < 0 {
			return &p.Classes[i]
		}
	}
	return &p.Classes[len(p.Classes)-1]
}

// random returns a uniformly distributed number in the range.
func (r Range) random(rng *rand.Rand) int {
	return r.Min + rng.IntN(r.Max-r.Min+1)
}

// bytesPerToken is the length in bytes of one prompt token.
const bytesPerToken = 4

// alphabet holds the characters of random prompts.
const alphabet = "abcdefghijklmnopqrstuvwxyz "

// randomText returns a random text of n tokens.
func randomText(rng *rand.Rand, n int) string {
	b := make([]byte, n*bytesPerToken)
	for i := range b {
		b[i] = alphabet[rng.IntN(len(alphabet))]
	}
	return string(b)
}

// newPrompt returns a random prompt. If the class has shared prefixes, the
// prompt starts with one of them. A prefix is generated on first use and kept
// in prefixes, so that later requests with it can hit the prefix cache.
func (c *RequestClass) newPrompt(rng *rand.Rand, prefixes map[string]string) string {
	suffix := randomText(rng, c.PromptTokens.random(rng))
	if c.PrefixTokens == 0 || c.PrefixCount == 0 {
		return suffix
	}
	key := c.Name + strings.Repeat("+", rng.IntN(c.PrefixCount))
	prefix, ok := prefixes[key]
	if !ok {
		prefix = randomText(rng, c.PrefixTokens)
		prefixes[key] = prefix
	}
	return prefix + suffix
}
