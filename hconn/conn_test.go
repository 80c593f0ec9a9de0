package hconn_test

import (
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/hconn"
)

// TestKeepAliveTime checks the time in milliseconds for each form of the header.
func TestKeepAliveTime(t *testing.T) {
	is := is.New(t)
	for header, want := range map[string]int64{
		"": 5000, "timeout=4": 3000, "timeout=1": 0, "max=5, timeout=10": 9000, "timeout=x": 0, "timeout=-3": 0, "timeout=0": -1000,
	} {
		is.Equal(int64(hconn.KeepAliveTime(header)), want)
	}
}
