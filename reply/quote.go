package reply

import "encoding/json"

// AppendQuoted appends the text as a JSON string.
func AppendQuoted(buf []byte, text string) []byte {
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
