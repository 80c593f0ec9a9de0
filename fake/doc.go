// Package fake implements a fake model engine, for prefill or decode, for tests
// and trial runs. Package fault injects its faults, kvmem simulates its KV memory
// and lorem generates its answers. Package svcsim simulates a plain service.
//
// Each token of an answer is a function of the preceding text alone: every
// engine returns the same answer to the same prompt, and a prompt extended by
// the first half of its answer yields the second half. Tests therefore compare
// answers token by token with [Answer], also after a retry or resume.
//
// # Usage
//
//	e := &fake.Engine{Name: "d1", Role: core.Decode}
//	go e.Run(ctx)
//	http.Serve(ln, e.Handler())
package fake
