package engine

import (
	"bytes"
	"strconv"
)

// fastParser reads the events of one stream that have nothing but a plain text. In
// a stream they differ in offset and text alone, so that all else is compared
// and not decoded. Whatever has another form is left to the JSON decoder.
type fastParser struct {
	// prefix is the event up to its offset.
	prefix []byte
}

var (
	textPrefix = []byte(`,"choices":[{"text":"`)
	textSuffix = []byte(`"}]}`)
)

func newFastParser(t target, id string) fastParser {
	head := append([]byte(`{"id":`), strconv.Quote(id)...)
	head = append(head, `,"attempt":`...)
	head = strconv.AppendUint(head, uint64(t.attempt), 10)
	return fastParser{prefix: append(head, `,"offset":`...)}
}

// parse returns the event's offset and text; ok is false if its form is
// another one.
func (q fastParser) parse(data []byte) (offset int, text string, ok bool) {
	rest, ok := bytes.CutPrefix(data, q.prefix)
	if !ok {
		return 0, "", false
	}
	n := 0
	for n < len(rest) && rest[n] >= '0' && rest[n] <= '9' && n < maxOffsetDigits {
		offset = offset*10 + int(rest[n]-'0')
		n++
	}
	body, ok := bytes.CutPrefix(rest[n:], textPrefix)
	if !ok || n == 0 || n > 1 && rest[0] == '0' {
		return 0, "", false
	}
	body, ok = bytes.CutSuffix(body, textSuffix)
	if !ok || !isPlainText(body) {
		return 0, "", false
	}
	return offset, string(body), true
}

// maxOffsetDigits bounds an offset that is read here; a longer one is left to the
// JSON decoder.
const maxOffsetDigits = 9

// isPlainText reports whether a JSON string's content stands for itself.
func isPlainText(text []byte) bool {
	for _, c := range text {
		if c < ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}
