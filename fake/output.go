package fake

import (
	"lacewinghook.example/lacewinghook/fault"

	"encoding/json"
	"net/http"
)

// output writes one stream of events and injects faults into it.
type output struct {
	w       http.ResponseWriter
	control *http.ResponseController
	trouble *fault.Injector
	// tokens and bytes count what was written.
	tokens int
	bytes  int
}

// token writes a token event, and then closes the connection if the faults ask
// for it after this token.
func (o *output) token(e event) {
	o.event(e)
	o.tokens++
	if o.trouble.Current().CutAfter == o.tokens {
		o.cut()
	}
}

// event writes an event, or one with a foreign ID or attempt if the faults ask for
// it.
func (o *output) event(e event) {
	id, attempt := o.trouble.AnswerID(e.ID, e.Attempt)
	if id != e.ID || attempt != e.Attempt {
		e.ID, e.Attempt, e.Choices = id, attempt, []choice{{Text: "foreign "}}
	}
	// Marshal can't fail for the types of an event.
	data, _ := json.Marshal(e)
	line := append([]byte("data: "), data...)
	o.write(append(line, "\n\n"...))
}

// write writes data, or only the part before the byte at which the faults close
// the connection.
func (o *output) write(data []byte) {
	at := o.trouble.Current().CutByte
	if at > o.bytes && at <= o.bytes+len(data) {
		_, _ = o.w.Write(data[:at-o.bytes])
		data = data[at-o.bytes:]
		o.bytes = at
		o.cut()
	}
	o.bytes += len(data)
	// A write error means that the client has disconnected. The request's
	// context reports that too.
	_, _ = o.w.Write(data)
}

// cut closes the connection, as often as CutTimes allows.
func (o *output) cut() {
	if o.trouble.Consume(func(i *fault.Faults) *int { return &i.CutTimes }) {
		o.flush()
		panic(http.ErrAbortHandler)
	}
}

// flush sends the buffered data to the client.
func (o *output) flush() { _ = o.control.Flush() }
