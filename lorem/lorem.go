package lorem

import "strings"

// words is the vocabulary from which Writer chooses.
var words = strings.Fields(`amber autumn barley bell birch breeze brook candle
clover dawn dove dusk ember evening feather fern field flame frost garden
gentle golden grain harvest heart hearth hill home hope kind lark light lily
meadow memory mild morning night oak prairie quiet rain remember river rose
season silver sky snow soft song spring star still summer sun thanks thistle
tide wheat willow wind winter wish wonder yarrow year`)

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Writer generates text that is determined by the preceding text.
type Writer struct {
	// hash is the FNV-1a hash of the preceding text.
	hash uint64
}

// NewWriter returns a writer that continues text.
func NewWriter(text string) *Writer {
	w := &Writer{hash: fnvOffset}
	w.addText(text)
	return w
}

// addText adds text to the hash.
func (w *Writer) addText(text string) {
	for i := range len(text) {
		w.hash = (w.hash ^ uint64(text[i])) * fnvPrime
	}
}

// Next returns the next token, a word and a space, and adds it to the hash.
func (w *Writer) Next() string {
	word := words[(w.hash>>17)%uint64(len(words))] + " "
	w.addText(word)
	return word
}

// Answer returns the first n tokens that every engine returns for the prompt.
func Answer(prompt string, n int) []string {
	w := NewWriter(prompt)
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = w.Next()
	}
	return tokens
}
