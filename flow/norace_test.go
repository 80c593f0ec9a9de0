//go:build !race

package flow_test

// detectorBytes is the memory that the race detector adds to one stream. It is off
// here.
const detectorBytes = 0
