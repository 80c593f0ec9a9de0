package engine

import (
	"bytes"
	"strconv"
)

// quick reads the events of one stream that have nothing but a plain text. In
// a stream they differ in offset and text alone, so that all else is compared
// and not decoded. Whatever has another form is left to the JSON decoder.
type quick struct {
	// head is the event up to its offset.
	head []byte
}

var (
	quickText = []byte(`,"choices":[{"text":"`)
	quickEnd  = []byte(`"}]}`)
)

func newQuick(t target, id string) quick {
	head := append([]byte(`{"id":`), strconv.Quote(id)...)
	head = append(head, `,"attempt":`...)
	head = strconv.AppendUint(head, uint64(t.attempt), 10)
	return quick{head: append(head, `,"offset":`...)}
}

// read returns the event's offset and text; ok is false if its form is
// another one.
func (q quick) read(data []byte) (offset int, text string, ok bool) {
	rest, ok := bytes.CutPrefix(data, q.head)
	if !ok {
		return 0, "", false
	}
	n := 0
	for n < len(rest) && rest[n] >= '0' && rest[n] <= '9' && n < maxDigits {
		offset = offset*10 + int(rest[n]-'0')
		n++
	}
	body, ok := bytes.CutPrefix(rest[n:], quickText)
	if !ok || n == 0 || n > 1 && rest[0] == '0' {
		return 0, "", false
	}
	body, ok = bytes.CutSuffix(body, quickEnd)
	if !ok || !plain(body) {
		return 0, "", false
	}
	return offset, string(body), true
}

// maxDigits bounds an offset that is read here; a longer one is left to the
// JSON decoder.
const maxDigits = 9

// plain reports whether a JSON string's content stands for itself.
func plain(text []byte) bool {
	for _, c := range text {
		if c < ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}
