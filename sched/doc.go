// Package sched schedules the attempts of requests. It queues them, selects a
// prefill and a decode upstream, reserves decode memory before the prefill starts,
// and releases the reserved capacity when the attempt ends.
//
// An attempt waits in the queue of its model until a prefill upstream has a
// short queue and a decode upstream has enough free memory. Both are then
// reserved in one step. The end of any attempt frees capacity and wakes the
// queue.
//
// # Usage
//
//	s := &sched.Scheduler{Upstreams: table, Chooser: route.Cost{}}
//	p, err := s.Place(ctx, sched.Query{Try: try})
//	s.PrefillDone(p, took, err)   // the prefill has ended
//	s.FirstToken(p, took)         // the decode upstream has sent its first token
//	s.Release(p, err)             // the attempt has ended
//
// An error of [Scheduler.Place] means that this attempt did not run. Its Run is
// [codes.NotRun] for the first attempt of a request and [codes.Unknown] for
// later ones, since an earlier attempt may have run.
package sched
