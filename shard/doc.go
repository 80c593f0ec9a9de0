// Package shard provides a map split into shards, each under its own lock, to
// reduce lock contention between threads that use different keys.
//
// State that several threads share is kept in such maps. A function passed to
// [Map.Update], [Map.Ensure] or [Map.Each] runs under the lock of a shard: it
// must be short, must not block or do I/O, and must not call the same map.
//
// # Usage
//
//	var m shard.Map[string, int]
//	m.Update("a", func(n int, ok bool) (int, bool) { return n + 1, true })
package shard
