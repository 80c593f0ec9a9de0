package idem_test

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// seed is the default seed of the model test, so that its schedules are
// reproducible.
const seed = "20261204"

// TestMain sets the default seed and fails if a goroutine leaks.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", seed)
	}
	status := m.Run()
	http.DefaultClient.CloseIdleConnections()
	if err := goleak.Find(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		status = 1
	}
	os.Exit(status)
}
