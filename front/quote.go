package front

import (
	"bytes"
	"encoding/json"
)

// appendQuoted appends the text as a JSON string.
func appendQuoted(buf []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			// A string always encodes.
			data, _ := json.Marshal(text)
			return append(buf, data...)
		}
	}
	buf = append(buf, '"')
	buf = append(buf, text...)
	return append(buf, '"')
}

// lastIndex returns the last place of sep in data.
func lastIndex(data []byte, sep string) int {
	return bytes.LastIndex(data, []byte(sep))
}
