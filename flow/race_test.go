//go:build race

package flow_test

// detectorBytes is the memory that the race detector adds to the stack frames of
// one stream, rounded up: a stream uses 63,648 bytes instead of 56,528.
const detectorBytes = 8 << 10
