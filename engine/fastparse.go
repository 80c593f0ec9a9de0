package engine

import (
	"bytes"
	"strconv"
)

// fastParser parses the token events of one stream without the JSON decoder.
// Such events differ only in offset and text, so it compares the rest with the
// expected bytes. An event of any other form must be decoded as JSON.
type fastParser struct {
	// prefix is the expected start of an event, up to the offset.
	prefix []byte
}

// The expected bytes before and after the text of an event.
var (
	textPrefix = []byte(`,"choices":[{"text":"`)
	textSuffix = []byte(`"}]}`)
)

// newFastParser returns a parser of events with the ID id and the attempt of t.
func newFastParser(t target, id string) fastParser {
	head := append([]byte(`{"id":`), strconv.Quote(id)...)
	head = append(head, `,"attempt":`...)
	head = strconv.AppendUint(head, uint64(t.attempt), 10)
	return fastParser{prefix: append(head, `,"offset":`...)}
}

// parse returns the offset and text of a token event. ok is false if the event
// needs the JSON decoder.
func (p fastParser) parse(data []byte) (offset int, text string, ok bool) {
	rest, ok := bytes.CutPrefix(data, p.prefix)
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

// maxOffsetDigits is the longest offset that can't overflow an int of 32 bits. A
// longer one must be decoded as JSON.
const maxOffsetDigits = 9

// isPlainText reports whether the content of a JSON string is printable ASCII
// without escapes, which needs no decoding.
func isPlainText(text []byte) bool {
	for _, c := range text {
		if c < ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}
