// Package kvmem simulates the KV memory of a fake engine: pieces that requests
// hold or wait for, and a prefix cache that publishes numbered events.
//
// # Usage
//
//	var m kvmem.Memory
//	err := m.Acquire(ctx, pieces, priority, total)
//	defer m.Release(pieces, total)
package kvmem
