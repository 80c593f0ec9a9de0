// Package place decides where and when an attempt runs: it waits for its
// turn, chooses the pair of upstreams and reserves the decode memory, before
// the prefill starts. What it gives out it takes back.
//
// An attempt waits in the line of its model until a prefill's queue is short
// and a decode upstream has room; both are then taken in one step. What ends
// anywhere frees capacity and wakes the line.
//
// # Usage
//
//	d := &place.Placer{Upstreams: table, Chooser: route.Cost{}}
//	p, err := d.Place(ctx, place.Query{Try: try})
//	d.Prefilled(p, took, err)     // the prefill has answered
//	d.FirstToken(p, took)         // the decode has given its first token
//	d.Release(p, err)             // the attempt has ended
//
// An error of [Placer.Place] says that this attempt did not run. For a
// request's first attempt its Run is [codes.NotRun]; for a later one it is
// [codes.Unknown], since an earlier one may have run.
package place
