//go:build !race

package flow_test

// detectorBytes is the extra memory per stream, none without the race detector.
const detectorBytes = 0
