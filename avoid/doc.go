// Package avoid excludes upstreams from selection for a time after failures.
//
// The list of replicas shows a crash some seconds late. Until then the evidence of the
// entry's own calls counts: a [Table] excludes an upstream that has failed for
// [minExclusion], and for twice as long with each further failure, up to [maxExclusion].
// Concurrent requests that fail at the same upstream count as one failure. An upstream
// that works again is forgotten, with its failures.
//
// What counts as a failure, and what as working again, is decided by the caller. One that
// tells several kinds of failure apart keeps a table for each, since an upstream that works
// again in one respect may still fail in another.
//
// A table reads no clock: all methods take the current instant. Its entries are in a
// [shard.Map], with a lock for each shard.
//
// # Usage
//
//	var unreachable avoid.Table
//	e := unreachable.Exclude(up.Name, now)       // a connection failed
//	if unreachable.Excluded(up.Name, now) { ... } // choose another upstream
//	unreachable.Forget(up.Name)                  // it has answered
package avoid
