package edge

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// TestEndOfStopWaitsForTheEndOfAnAnswer guards against a connection that is closed at the end
// of the grace period between the return of its handler and the last chunk of the answer,
// which net/http writes.
func TestEndOfStopWaitsForTheEndOfAnAnswer(t *testing.T) {
	is := is.New(t)
	e := &Edge{Log: zap.NewNop()}
	conn, other := net.Pipe()
	defer conn.Close()
	defer other.Close()
	e.inFlight.ConnState(conn, http.StateActive)
	var written atomic.Bool
	time.AfterFunc(20*time.Millisecond, func() {
		written.Store(true)
		e.inFlight.ConnState(conn, http.StateIdle)
	})
	e.endRequests(context.Background(), e.Clock.Now())
	is.True(written.Load())
}
