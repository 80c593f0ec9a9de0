package entry_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/osproc"
	"lacewinghook.example/lacewinghook/trial"
)

// Sizes of the test of hostile callers. The bounds are derived from limits.held, since the
// settings of this kind of entry have no memory limit.
const (
	heldBytes    = 16 << 20
	memoryFactor = 4
	// bytesPerDescriptor is the part of memoryFactor times heldBytes that each open
	// descriptor stands for.
	bytesPerDescriptor = 32 << 10
	hostileTime        = 3 * time.Second
)

// hostileHead starts a request whose body doesn't arrive.
const hostileHead = "POST /v1/services/" + trial.Service + "/orders HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + trial.CallerKey + "\r\nIdempotency-Key: k\r\nContent-Length: 10\r\n"

// TestHostileCallers guards against a process that ends, or exceeds its memory or
// descriptors, because of what callers send before their requests run.
func TestHostileCallers(t *testing.T) {
	dir := t.TempDir()
	is.New(t).NoErr(osproc.Build(t.Context(), dir))
	for name, crowds := range trial.Crowds(hostileHead) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cluster, err := osproc.Start(t.Context(), dir, 1, func(s *config.Settings) { s.Limits.Held = heldBytes })
			is.NoErr(err)
			defer cluster.Stop()
			p := cluster.Entries[0]
			before := p.PeakMemory()
			ctx, cancel := context.WithTimeout(t.Context(), hostileTime)
			defer cancel()
			_, files := p.RunCrowds(ctx, map[string][]trial.Crowd{p.Addr: crowds})
			until, stop := context.WithTimeout(t.Context(), 10*time.Second)
			defer stop()
			is.NoErr(trial.WaitUntil(until, func() bool {
				resp, err := cluster.Client(0).Do(until, http.MethodPost, "/v1/services/"+trial.Service+"/orders", []byte("card"), http.Header{"Idempotency-Key": {"ordinary"}, "Deadline": {"1000"}})
				if err != nil {
					return false
				}
				defer resp.Body.Close()
				return resp.StatusCode == http.StatusOK
			})) // an ordinary request is answered
			peak := p.PeakMemory()
			t.Logf("memory %d MiB, %d MiB before; %d descriptors", peak>>20, before>>20, files)
			is.True(peak > 0) // the process runs
			is.True(peak < memoryFactor*heldBytes)
			is.True(files < memoryFactor*heldBytes/bytesPerDescriptor)
		})
	}
}
