package front

import (
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/flow"
	"lacewinghook.example/lacewinghook/meter"
)

// audit is a [flow.Sink] that checks a response right before it is sent: every
// token belongs to the request, offsets are consecutive, and nothing follows
// the end marker. Earlier stages should guarantee this. A token that fails the
// check is a bug: it isn't sent, and the violated promise is counted.
type audit struct {
	sink  flow.Sink
	meter *meter.Registry
	id    core.ID
	// next is the offset of the next token. sent counts the tokens passed to
	// sink, including the end marker.
	next  int
	sent  int
	ended bool
	// fault is the error of the first violation.
	fault error
}

// Token implements [flow.Sink].
func (a *audit) Token(t core.Token) error {
	switch {
	case t.ID != a.id:
		return a.violated(meter.AnsweredWhole, "token of another request")
	case a.ended:
		return a.violated(meter.AnsweredOnce, "token after the end marker")
	case t.Offset < a.next:
		return a.violated(meter.AnsweredOnce, "duplicate token")
	case t.Offset > a.next:
		return a.violated(meter.AnsweredWhole, "missing token")
	}
	if err := a.sink.Token(t); err != nil {
		return err
	}
	a.sent++
	if t.Finish != "" {
		a.ended = true
		return nil
	}
	a.next++
	return nil
}

// violated counts a violation of the promise and returns the error of the
// first violation.
func (a *audit) violated(p meter.Promise, detail string) error {
	a.meter.RecordViolation(p, "request "+a.id.String()+": "+detail)
	if a.fault == nil {
		a.fault = codes.New(codes.WrongAnswer, "%s", detail).WithRun(codes.Ran)
	}
	return a.fault
}

// finalError returns the error to send to the caller, given the error of the
// run. It detects a missing end marker, and a request that is reported as not
// run although tokens were sent.
func (a *audit) finalError(err error) error {
	switch {
	case a.fault != nil:
		return a.fault
	case err == nil && !a.ended:
		return a.violated(meter.AnsweredWhole, "response ended without an end marker")
	case err != nil && a.sent > 0 && codes.From(err).Run == codes.NotRun:
		a.meter.RecordViolation(meter.NotRunIsTrue, "request "+a.id.String()+": reported as not run after its response had begun")
		return codes.From(err).WithRun(codes.Ran)
	}
	return err
}
