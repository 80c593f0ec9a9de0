package front

import (
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/flow"
	"lacewinghook.example/lacewinghook/meter"
)

// audit is the last look at an answer before it leaves: every token is of this
// request, follows the one before, and nothing follows the end marker. What
// comes before should let nothing else through; if it does, a promise is
// broken, which is counted, and the token isn't sent.
type audit struct {
	sink  flow.Sink
	meter *meter.Set
	id    core.ID
	// next is the offset of the next token, and sent counts those that were
	// handed on.
	next  int
	sent  int
	ended bool
	// fault is the first broken promise.
	fault error
}

// Token implements [flow.Sink].
func (a *audit) Token(t core.Token) error {
	switch {
	case t.ID != a.id:
		return a.violated(meter.AnsweredWhole, "a token of another request")
	case a.ended:
		return a.violated(meter.AnsweredOnce, "a token after the end marker")
	case t.Offset < a.next:
		return a.violated(meter.AnsweredOnce, "a token for the second time")
	case t.Offset > a.next:
		return a.violated(meter.AnsweredWhole, "a token was left out")
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

func (a *audit) violated(p meter.Promise, what string) error {
	a.meter.Violated(p, "request "+a.id.String()+": "+what)
	if a.fault == nil {
		a.fault = codes.New(codes.WrongAnswer, "%s", what).WithRun(codes.Ran)
	}
	return a.fault
}

// finalError returns the error that the caller is told, given that of the run.
func (a *audit) finalError(err error) error {
	switch {
	case a.fault != nil:
		return a.fault
	case err == nil && !a.ended:
		return a.violated(meter.AnsweredWhole, "the answer ended without its end marker")
	case err != nil && a.sent > 0 && codes.From(err).Run == codes.NotRun:
		a.meter.Violated(meter.NotRunIsTrue, "request "+a.id.String()+": refused as not run after its answer began")
		return codes.From(err).WithRun(codes.Ran)
	}
	return err
}
