package entry

import (
	"context"

	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/drain"
	"lacewinghook.example/lacewinghook/engine"
)

// gatedEngines checks the drain gate right before each call that sends work to
// an upstream. The upstream may have been drained since it was selected.
type gatedEngines struct {
	*engine.Client
	gate *drain.Gate
}

// Prefill implements [flow.Engines].
func (g gatedEngines) Prefill(ctx context.Context, up core.Upstream, try core.Try) (core.Export, error) {
	if err := g.gate.Check(ctx, up.Name); err != nil {
		return core.Export{}, err
	}
	return g.Client.Prefill(ctx, up, try)
}

// Decode implements [flow.Engines].
func (g gatedEngines) Decode(ctx context.Context, up core.Upstream, try core.Try, export core.Export, arrived func(), onToken func(core.Token) error) error {
	if err := g.gate.Check(ctx, up.Name); err != nil {
		return err
	}
	return g.Client.Decode(ctx, up, try, export, arrived, onToken)
}

// Call implements [plain.Services].
func (g gatedEngines) Call(ctx context.Context, up core.Upstream, call core.Call, attempt core.Attempt) (core.Answer, error) {
	if err := g.gate.Check(ctx, up.Name); err != nil {
		return core.Answer{}, err
	}
	return g.Client.Call(ctx, up, call, attempt)
}
