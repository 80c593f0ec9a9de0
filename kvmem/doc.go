// Package kvmem is the memory of a stand-in engine: pieces that requests hold or
// wait for, and the prefix cache with its numbered events.
//
// # Usage
//
//	var m kvmem.Memory
//	err := m.Take(ctx, pieces, priority, total)
//	defer m.Give(pieces, total)
package kvmem
