package guard

import "bytes"

// Estimated memory of a head. A line of a few bytes took about 85 bytes while the head
// arrived, and 120 to 170 in flight, where it is copied once, with what the garbage
// collector had not freed yet (400 heads of 16,000 bytes each).
const (
	bytesPerLine = 256
	costPerByte  = 4
	// allowance is the part of a head's memory that isn't charged. It is above that of a
	// head of 20 lines and 800 bytes, so that ordinary heads need no room.
	allowance = 8 << 10
)

// head counts what has arrived of the head of a request.
type head struct {
	bytes, lines int64
	// line is the number of bytes of the current line, but for its end, and first is the
	// first of them.
	line  int64
	first byte
	ended bool
}

// add counts the bytes of p up to the end of the head.
func (h *head) add(p []byte) {
	for len(p) > 0 && !h.ended {
		i := bytes.IndexByte(p, '\n')
		part := p
		if i >= 0 {
			part = p[:i]
		}
		if h.line == 0 && len(part) > 0 {
			h.first = part[0]
		}
		h.line += int64(len(part))
		h.bytes += int64(len(part))
		if i < 0 {
			return
		}
		h.bytes++
		p = p[i+1:]
		// net/http ignores or rejects empty lines before a request: they don't end it.
		if empty := h.line == 0 || h.line == 1 && h.first == '\r'; !empty {
			h.lines++
		} else if h.lines > 0 {
			h.ended = true
		}
		h.line = 0
	}
}

// cost estimates the memory of the head.
func (h *head) cost() int64 { return h.lines*bytesPerLine + h.bytes*costPerByte }
