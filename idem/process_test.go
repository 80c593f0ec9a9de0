package idem_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/osproc"
	"lacewinghook.example/lacewinghook/pltsim"
	"lacewinghook.example/lacewinghook/record"
	"lacewinghook.example/lacewinghook/store"
	"lacewinghook.example/lacewinghook/trial"
)

// processes are a platform, a plain service and two entries, each as a process.
type processes struct {
	*osproc.Cluster
	service string
}

// startProcesses builds and starts the processes, and stops them at the end of
// the test.
func startProcesses(t *testing.T) *processes {
	dir, ctx := t.TempDir(), t.Context()
	if err := osproc.Build(ctx, dir); err != nil {
		t.Fatal(err)
	}
	p, err := osproc.Start(ctx, dir, 2, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	const servicePort = 300
	return &processes{p, fmt.Sprintf("http://127.0.0.1:%d", p.BasePort+servicePort)}
}

// order sends the order "k" with a deadline of one second. It returns the run
// that the service counted, or the error's code and Run.
func (p *processes) order(entry int) (ran int, code codes.Code, run codes.Run) {
	header := http.Header{"Idempotency-Key": {"k"}, "Deadline": {"1000"}}
	resp, err := p.Client(entry).Do(context.Background(), http.MethodPost, "/v1/services/"+trial.Service+"/orders", []byte("card"), header)
	if err != nil {
		return 0, codes.CallerGone, codes.Unknown
	}
	defer resp.Body.Close()
	var a struct {
		Run   int
		Error struct {
			Code codes.Code
			Run  codes.Run
		}
	}
	_ = json.NewDecoder(resp.Body).Decode(&a)
	return a.Run, a.Error.Code, a.Error.Run
}

// runs returns how often the service ran the order, by its own count.
func (p *processes) runs() int {
	all := make(map[string]int)
	if resp, err := http.Get(p.service + "/fake/runs"); err == nil {
		defer resp.Body.Close()
		_ = json.NewDecoder(resp.Body).Decode(&all)
	}
	return all["k"]
}

// landed reports whether the order's row is in the table.
func (p *processes) landed() bool {
	rows, err := (&store.Client{Base: p.PlatformURL()}).List(context.Background(), record.Prefix, "", 1)
	return err == nil && len(rows) == 1
}

// post sends v as JSON to a fake's control address.
func post(t *testing.T, url string, v any) {
	t.Helper()
	body, err := json.Marshal(v)
	is.New(t).NoErr(err)
	resp, err := http.Post(url, "application/json", bytes.NewReader(body))
	is.New(t).NoErr(err)
	_ = resp.Body.Close()
}

// TestPromiseProcesses kills or freezes an entry process in the middle of an
// order, and checks that another entry never runs the order again.
func TestPromiseProcesses(t *testing.T) {
	for _, c := range []struct {
		name string
		// claimed selects when entry 1 is frozen or killed: after the row was
		// inserted and before the call is sent. Otherwise it happens while the
		// call runs.
		claimed bool
		kill    bool
		// end is the code that entry 2 finally returns; zero means an answer.
		end  codes.Code
		runs int
	}{
		{name: "killed between insert and dispatch", claimed: true, kill: true, end: codes.OutcomeUnknown},
		{name: "killed after dispatch", kill: true, end: codes.OutcomeUnknown, runs: 1},
		{name: "frozen between insert and dispatch", claimed: true, runs: 1},
		{name: "frozen after dispatch", runs: 1},
	} {
		t.Run("at most once/entry "+c.name, func(t *testing.T) {
			is := is.New(t)
			p := startProcesses(t)
			post(t, p.service+"/fake/ills", fake.Faults{Delay: 400})
			kind := pltsim.RequestDelayed
			if c.claimed {
				// The row is inserted, but its confirmation is delayed for
				// longer than it takes to stop the entry.
				kind = pltsim.AnswerDelayed
			}
			post(t, p.PlatformURL()+"/fake/faults", pltsim.Fault{Kind: kind, Op: pltsim.OpCommit, Prefix: record.Prefix, Count: 1, Delay: 300})
			first := make(chan codes.Run, 1)
			go func() {
				_, _, run := p.order(0)
				first <- run
			}()
			until(t, func() bool { return c.claimed && p.landed() || p.runs() > 0 })
			signal := syscall.SIGSTOP
			if c.kill {
				signal = syscall.SIGKILL
			}
			is.NoErr(p.Entries[0].Signal(signal))
			_, code, _ := p.order(1)
			is.Equal(code, codes.InProgress) // the row is open and not expired
			if !c.kill {
				// The order's deadline of one second passes before the entry
				// resumes.
				is.NoErr((clock.Clock{}).Sleep(t.Context(), clock.Second))
				is.NoErr(p.Entries[0].Signal(syscall.SIGCONT))
				is.True(<-first != codes.NotRun || c.claimed)
			}
			var ran int
			until(t, func() bool {
				ran, code, _ = p.order(1)
				return code != codes.InProgress
			})
			is.Equal(code, c.end)
			is.True(ran == 1 || code != 0)
			is.Equal(p.runs(), c.runs)
		})
	}
}
