package reply

import "encoding/json"

// AppendQuoted appends text as a JSON string, encoded as by [json.Marshal]. Text
// that needs no escaping is copied without an allocation.
func AppendQuoted(buf []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			// Encoding a string can't fail.
			data, _ := json.Marshal(text)
			return append(buf, data...)
		}
	}
	buf = append(buf, '"')
	buf = append(buf, text...)
	return append(buf, '"')
}
