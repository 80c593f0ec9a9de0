package fake

import (
	"lacewinghook.example/lacewinghook/fault"

	"encoding/json"
	"net/http"
)

// output writes one stream of events, with the faults in force.
type output struct {
	w       http.ResponseWriter
	control *http.ResponseController
	trouble *fault.Trouble
	tokens  int
	bytes   int
}

// token writes an event with a token, and cuts the connection behind it where
// the faults ask for it.
func (o *output) token(e event) {
	o.event(e)
	o.tokens++
	if o.trouble.Now().CutAfter == o.tokens {
		o.cut()
	}
}

func (o *output) event(e event) {
	id, attempt := o.trouble.Sign(e.ID, e.Attempt)
	if id != e.ID || attempt != e.Attempt {
		e.ID, e.Attempt, e.Choices = id, attempt, []choice{{Text: "foreign "}}
	}
	// The event's types always encode.
	data, _ := json.Marshal(e)
	line := append([]byte("data: "), data...)
	o.write(append(line, "\n\n"...))
}

// write writes data, or a part of it where the faults cut at a byte.
func (o *output) write(data []byte) {
	at := o.trouble.Now().CutByte
	if at > o.bytes && at <= o.bytes+len(data) {
		_, _ = o.w.Write(data[:at-o.bytes])
		data = data[at-o.bytes:]
		o.bytes = at
		o.cut()
	}
	o.bytes += len(data)
	// An error means that the reader is gone, which its context tells too.
	_, _ = o.w.Write(data)
}

// cut closes the connection if a cut is left.
func (o *output) cut() {
	if o.trouble.Spend(func(i *fault.Ills) *int { return &i.CutTimes }) {
		o.flush()
		panic(http.ErrAbortHandler)
	}
}

func (o *output) flush() { _ = o.control.Flush() }
