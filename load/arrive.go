package load

import (
	"math/rand/v2"
	"strings"

	"lacewinghook.example/lacewinghook/clock"
)

// Arrival is one request of the load.
type Arrival struct {
	At     clock.Millis
	Crest  bool
	Mix    *Mix
	Prompt string
	Answer int
	// Number counts the arrivals of a run; orders take their key from it.
	Number int
}

// Arrivals returns the arrivals of one seed, in order.
func (p *Plan) Arrivals(seed uint64) []Arrival {
	rng := rand.New(rand.NewPCG(seed, seed))
	styles := make(map[string]string)
	var all []Arrival
	at := 0.0
	for {
		f, _ := p.Swing.factor(clock.Millis(at))
		at += rng.ExpFloat64() * float64(clock.Second) / (p.Rate * f)
		if clock.Millis(at) >= p.Length {
			return all
		}
		a := Arrival{At: clock.Millis(at), Mix: p.draw(rng), Number: len(all)}
		_, a.Crest = p.Swing.factor(a.At)
		a.Answer = a.Mix.Answer.draw(rng)
		a.Prompt = a.Mix.prompt(rng, styles)
		all = append(all, a)
	}
}

// draw chooses a mix by the shares.
func (p *Plan) draw(rng *rand.Rand) *Mix {
	total := 0.0
	for i := range p.Mixes {
		total += p.Mixes[i].Share
	}
	x := rng.Float64() * total
	for i := range p.Mixes {
		x -= p.Mixes[i].Share
		if x < 0 {
			return &p.Mixes[i]
		}
	}
	return &p.Mixes[len(p.Mixes)-1]
}

func (r Range) draw(rng *rand.Rand) int {
	return r.Min + rng.IntN(r.Max-r.Min+1)
}

// tokenBytes is the length of the text of one prompt token.
const tokenBytes = 4

const letters = "abcdefghijklmnopqrstuvwxyz "

// text returns random text of n tokens.
func text(rng *rand.Rand, n int) string {
	b := make([]byte, n*tokenBytes)
	for i := range b {
		b[i] = letters[rng.IntN(len(letters))]
	}
	return string(b)
}

// prompt returns a prompt: one of the mix's house styles and text of its own.
func (m *Mix) prompt(rng *rand.Rand, styles map[string]string) string {
	own := text(rng, m.Prompt.draw(rng))
	if m.Prefix == 0 || m.Styles == 0 {
		return own
	}
	name := m.Name + strings.Repeat("+", rng.IntN(m.Styles))
	style, ok := styles[name]
	if !ok {
		style = text(rng, m.Prefix)
		styles[name] = style
	}
	return style + own
}
