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
	faults  *fault.Injector
	// tokens and bytes are the numbers of token events and bytes written.
	tokens int
	bytes  int
}

// token writes a token event, and then closes the connection if CutAfter is the
// number of tokens written.
func (o *output) token(e event) {
	o.event(e)
	o.tokens++
	if o.faults.Current().CutAfter == o.tokens {
		o.cut()
	}
}

// event writes an event. If CrossAnswers or StaleAnswers is above zero, it writes
// an event with a foreign ID or an older attempt instead.
func (o *output) event(e event) {
	id, attempt := o.faults.AnswerID(e.ID, e.Attempt)
	if id != e.ID || attempt != e.Attempt {
		e.ID, e.Attempt, e.Choices = id, attempt, []choice{{Text: "foreign "}}
	}
	// Marshal can't fail for the types of an event.
	data, _ := json.Marshal(e)
	line := append([]byte("data: "), data...)
	o.write(append(line, "\n\n"...))
}

// write writes data. If CutByte falls within data, it writes only the part before
// it and closes the connection.
func (o *output) write(data []byte) {
	at := o.faults.Current().CutByte
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

// cut closes the connection, for at most CutTimes streams.
func (o *output) cut() {
	if o.faults.Consume(func(f *fault.Faults) *int { return &f.CutTimes }) {
		o.flush()
		panic(http.ErrAbortHandler)
	}
}

// flush sends the buffered data to the client.
func (o *output) flush() { _ = o.control.Flush() }
