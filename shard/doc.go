// Package shard holds a map that is split into shards, each under its own
// lock, so that threads that work on different keys seldom meet.
//
// All state that several threads share lives in such maps. A function given
// to [Map.Update] runs under its shard's lock: it must be short, must not
// block, and must not call into the same map. No lock is held across I/O.
//
// # Usage
//
//	var m shard.Map[string, int]
//	m.Update("a", func(n int, ok bool) (int, bool) { return n + 1, true })
package shard
