package admin_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/admin"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/fake"
	"lacewinghook.example/lacewinghook/meter"
	"lacewinghook.example/lacewinghook/trial"
)

// TestNothingIsAnsweredWithoutAToken checks that every path, existing or not,
// rejects requests without a valid token and reveals no data.
func TestNothingIsAnsweredWithoutAToken(t *testing.T) {
	set, err := trial.Start(trial.Plan{Entries: 1, Linger: 1})
	is.New(t).NoErr(err)
	t.Cleanup(set.Stop)
	for _, path := range []string{
		"/metrics", "/admin/v1/status", "/admin/v1/promises", "/admin/v1/profiles", "/admin/v1/history",
		"/admin/v1/upstreams", "/admin/v1/instances", "/admin/v1/centres", "/admin/v1/orders",
		"/admin/v1/quarantine", "/admin/v1/profiles/confirmed", "/nowhere", "/debug/pprof/",
	} {
		for name, token := range map[string]string{"none": "", "wrong": "Bearer x", "a digest": "Bearer " + set.Entries[0].Entry.Settings.Tokens[0], "other scheme": "Basic " + trial.OperatorToken} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				status, body := get(t, set, path, token)
				is.Equal(status, http.StatusUnauthorized)
				is.True(strings.Contains(body, `"name":"unauthorized"`))
				is.True(!strings.Contains(body, trial.Workspace))
			})
		}
	}
	status, _ := get(t, set, "/metrics", "Bearer "+trial.OperatorToken)
	is.New(t).Equal(status, http.StatusOK)
}

// get sends a request to the operators' listener of the first entry and returns
// the status and the body.
func get(t *testing.T, set *trial.Cluster, path, authorization string) (int, string) {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+set.Entries[0].AdminAddr+path, nil)
	is.NoErr(err)
	req.Header.Set("Authorization", authorization)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return resp.StatusCode, string(body)
}

// TestPromisesCarryEvidence checks that every promise has a mechanism, and that
// dropped answers and rejected requests increment the listed counters.
func TestPromisesCarryEvidence(t *testing.T) {
	is := is.New(t)
	set, err := trial.Start(trial.Plan{Entries: 1, Prefills: 1, Decodes: 1, Linger: 1})
	is.NoErr(err)
	t.Cleanup(set.Stop)
	// An answer for another request is dropped and counted.
	set.Decodes[0].Faults.Set(fake.Faults{CrossAnswers: 1})
	r, err := set.Client(0).Complete(context.Background(), trial.Request{Model: trial.Model, Prompt: "x", MaxTokens: 3}, nil)
	is.NoErr(err)
	is.Equal(r.Text, strings.Join(fake.Answer("x", 3), ""))
	// A rejected request increments a counter of the promise not_run_is_true.
	_, err = set.Client(0).Complete(context.Background(), trial.Request{Model: "none", Prompt: "x", MaxTokens: 1}, nil)
	is.True(codes.Has(err, codes.UnknownModel))
	status, body := get(t, set, "/admin/v1/promises", "Bearer "+trial.OperatorToken)
	is.Equal(status, http.StatusOK)
	var p admin.Promises
	is.NoErr(json.Unmarshal([]byte(body), &p))
	is.Equal(len(p.Promises), 8)
	for _, promise := range p.Promises {
		is.True(promise.Mechanism != "")
	}
	is.Equal(counterOf(p, meter.AnsweredOnce, `dropped_answers_total{reason="wrong_id"}`), 1.0)
	is.Equal(counterOf(p, meter.NotRunIsTrue, `refused_total{code="unknown_model"}`), 1.0)
	_, metrics := get(t, set, "/metrics", "Bearer "+trial.OperatorToken)
	is.True(strings.Contains(metrics, `lacewinghook_violations_total{promise="at_most_once"} 0`))
}

// counterOf returns the value of a counter listed under the promise, or -1.
func counterOf(all admin.Promises, promise meter.Promise, name string) float64 {
	for _, p := range all.Promises {
		for _, c := range p.Counters {
			if p.Promise == promise && c.Name == name {
				return c.Value
			}
		}
	}
	return -1
}
