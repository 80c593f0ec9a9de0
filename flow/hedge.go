package flow

import (
	"context"

	"lacewinghook.example/lacewinghook/clock"
)

// branchResult is the outcome of a branch.
type branchResult struct {
	branch *branch
	err    error
}

// runHedged runs one branch and starts a second one, the hedge, if the first has
// no token after half of the first-token target and one of its upstreams is a
// straggler.
func (e *execution) runHedged(ctx context.Context) error {
	results := make(chan branchResult, 2)
	first := e.newBranch()
	hedgeDue := make(chan struct{})
	stopTimer := e.flow.Clock.AfterFunc(e.hedgeDelay(), func() { close(hedgeDue) })
	defer stopTimer()
	e.launch(ctx, first, results)
	select {
	case result := <-results:
		return result.err
	case <-hedgeDue:
	}
	second := e.newHedge(first)
	if second == nil {
		return (<-results).err
	}
	e.flow.Meter.CountHedge()
	e.launch(ctx, second, results, first.upstreamNames()...)
	return e.awaitBoth(<-results, results)
}

// hedgeDelay returns the time after which a branch without a token is checked for
// hedging.
func (e *execution) hedgeDelay() clock.Millis {
	return max(e.request.Profile.FirstToken/2, 1)
}

// newHedge returns a branch to run in parallel with first, or nil if first runs at
// no straggler, the retry budget is exhausted, or first has begun to answer.
func (e *execution) newHedge(first *branch) *branch {
	slow := false
	for _, name := range first.upstreamNames() {
		slow = slow || e.flow.Stragglers.IsStraggler(name)
	}
	if !slow || !e.flow.spendBudget() {
		return nil
	}
	return e.newBranch()
}

// launch runs a branch in its own goroutine and sends its outcome to results. The
// branch must not use the upstreams in avoid.
func (e *execution) launch(ctx context.Context, b *branch, results chan<- branchResult, avoid ...string) {
	ctx, stop := context.WithCancelCause(ctx)
	e.mu.Lock()
	b.stop = stop
	e.mu.Unlock()
	go func() {
		defer stop(nil)
		results <- branchResult{b, b.run(ctx, avoid...)}
	}()
}

// awaitBoth waits for both branches; first is the outcome received first. It
// returns nil if the first one succeeded. Otherwise it returns the first outcome's
// error if that branch was answering, and else the error of the other branch.
func (e *execution) awaitBoth(first branchResult, results <-chan branchResult) error {
	if first.err == nil {
		<-results
		return nil
	}
	other := <-results
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.winner == first.branch {
		return first.err
	}
	return other.err
}

// upstreamNames returns the branch's upstreams, or nil while it is not placed.
func (b *branch) upstreamNames() []string {
	b.execution.mu.Lock()
	defer b.execution.mu.Unlock()
	if b.placement == nil {
		return nil
	}
	return []string{b.placement.Prefill.Name, b.placement.Decode.Name}
}
