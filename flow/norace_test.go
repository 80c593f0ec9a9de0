//go:build !race

package flow_test

// detectorBytes is zero without the race detector.
const detectorBytes = 0
