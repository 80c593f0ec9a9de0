package front_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/trial"
)

// invalidRequest is a request that must be refused with the code and reported as
// not run.
type invalidRequest struct {
	method, path, body string
	header             http.Header
	key                string
	code               codes.Code
	// message is a substring of the error message.
	message string
}

const (
	completionsPath = "/v1/completions"
	chatPath        = "/v1/chat/completions"
	ordersPath      = "/v1/services/card-desk/orders"
	validBody       = `{"model":"verse","prompt":"x"}`
)

// header returns an HTTP header with one field.
func header(name, value string) http.Header { return http.Header{name: {value}} }

// badInputs are invalid requests by the name of their test.
var badInputs = map[string]invalidRequest{
	"oversized body":       {path: completionsPath, body: `{"prompt":"` + strings.Repeat("x", 4<<10) + `"}`, code: codes.TooLarge, message: "body"},
	"oversized order":      {path: ordersPath, body: strings.Repeat("x", 4<<10), header: header("Idempotency-Key", "k"), code: codes.TooLarge, message: "body"},
	"broken JSON":          {path: completionsPath, body: `{"model":`, code: codes.BadRequest, message: "not JSON"},
	"unknown field":        {path: completionsPath, body: `{"model":"verse","prompt":"x","temperature":1}`, code: codes.BadRequest, message: "temperature"},
	"unknown, nested":      {path: chatPath, body: `{"model":"verse","messages":[{"role":"user","content":"x","name":"n"}]}`, code: codes.BadRequest, message: "messages[0].name"},
	"unknown role":         {path: chatPath, body: `{"model":"verse","messages":[{"role":"king","content":"x"}]}`, code: codes.BadRequest, message: "messages[0].role"},
	"no messages":          {path: chatPath, body: `{"model":"verse"}`, code: codes.BadRequest, message: "messages"},
	"two answers":          {path: completionsPath, body: `{"model":"verse","prompt":"x","n":2}`, code: codes.BadRequest, message: "n: want 1"},
	"no prompt":            {path: completionsPath, body: `{"model":"verse"}`, code: codes.BadRequest, message: "prompt"},
	"bad max_tokens":       {path: completionsPath, body: `{"model":"verse","prompt":"x","max_tokens":0}`, code: codes.BadRequest, message: "max_tokens"},
	"unknown model":        {path: completionsPath, body: `{"model":"prose","prompt":"x"}`, code: codes.UnknownModel, message: "model"},
	"unknown profile":      {path: completionsPath, body: validBody, header: header("Profile", "hasty"), code: codes.UnknownProfile, message: "Profile"},
	"wrong key":            {path: completionsPath, body: validBody, key: "not the key", code: codes.Unauthorized, message: "Authorization"},
	"wrong key, service":   {path: ordersPath, key: "not the key", code: codes.Unauthorized, message: "Authorization"},
	"bad deadline":         {path: completionsPath, body: validBody, header: header("Deadline", "soon"), code: codes.BadRequest, message: "Deadline"},
	"deadline overflows":   {path: completionsPath, body: validBody, header: header("Deadline", "9223372036854775807"), code: codes.BadRequest, message: "Deadline"},
	"two idempotency keys": {path: ordersPath, header: http.Header{"Idempotency-Key": {"a", "b"}}, code: codes.BadRequest, message: "Idempotency-Key: given twice"},
	"two profiles":         {path: completionsPath, body: validBody, header: http.Header{"Profile": {"exact", "prompt"}}, code: codes.BadRequest, message: "Profile: given twice"},
	"unknown service":      {path: "/v1/services/cards/orders", code: codes.UnknownService, message: "cards"},
	"unknown route":        {path: "/v1/services/card-desk/refunds", code: codes.UnknownService, message: "refunds"},
	"no idempotency key":   {path: ordersPath, body: "{}", code: codes.KeyMissing, message: "Idempotency-Key"},
	"dots in the path":     {method: http.MethodGet, path: "/v1/services/card-desk/stock/../orders", code: codes.BadRequest, message: "path"},
	"dots, twice encoded":  {method: http.MethodGet, path: "/v1/services/card-desk/stock/%252e%252e/orders", code: codes.BadRequest, message: "path"},
	"encoded query":        {method: http.MethodGet, path: "/v1/services/card-desk/stock%3Fa=1", code: codes.BadRequest, message: "path"},
	"unknown path":         {path: "/v1/embeddings", code: codes.NotFound, message: "embeddings"},
	"wrong method":         {method: http.MethodGet, path: completionsPath, code: codes.MethodDenied, message: "GET"},
}

// startLimitedSet starts an entry that accepts one small body at a time.
func startLimitedSet(t *testing.T) *trial.Cluster {
	t.Helper()
	set, err := trial.Start(trial.Plan{
		Entries: 1, Prefills: 1, Decodes: 1, Services: 1, Linger: 1,
		SetupEntry: func(s *config.Settings) { s.Limits = config.Limits{Body: 2 << 10, Input: 1000, Inputs: 1} },
	})
	is.New(t).NoErr(err)
	t.Cleanup(set.Stop)
	return set
}

// errorResponse is the body of an error response.
type errorResponse struct {
	Error struct {
		Code    codes.Code `json:"code"`
		Name    string     `json:"name"`
		Run     codes.Run  `json:"run"`
		Message string     `json:"message"`
	} `json:"error"`
}

// TestPromise checks that every invalid request is reported as not run and reaches
// no upstream.
func TestPromise(t *testing.T) {
	t.Run("not run is true", func(t *testing.T) {
		set := startLimitedSet(t)
		for name, b := range badInputs {
			t.Run(name, func(t *testing.T) { checkRefused(t, set, b) })
		}
		is := is.New(t)
		is.Equal(set.Prefills[0].Counters.Prefills.Load(), int64(0))
		is.Equal(set.Decodes[0].Counters.Decodes.Load(), int64(0))
		is.Equal(len(set.Services[0].Runs()), 0)
	})
}

// checkRefused sends the request and checks its error response.
func checkRefused(t *testing.T, set *trial.Cluster, b invalidRequest) {
	is := is.New(t)
	c := set.Client(0)
	if b.key != "" {
		c.Key = b.key
	}
	if b.method == "" {
		b.method = http.MethodPost
	}
	resp, err := c.Do(context.Background(), b.method, b.path, []byte(b.body), b.header)
	is.NoErr(err)
	defer resp.Body.Close()
	var r errorResponse
	is.NoErr(json.NewDecoder(resp.Body).Decode(&r))
	is.Equal(r.Error.Code, b.code)
	is.Equal(r.Error.Name, b.code.String())
	is.Equal(resp.StatusCode, b.code.Info().Status)
	is.Equal(r.Error.Run, codes.NotRun)
	is.True(strings.Contains(r.Error.Message, b.message))
	is.True(strings.HasPrefix(resp.Header.Get("Request-Id"), "moose-jaw-1."))
}

// TestSlowBodyTimesOutAndCountsAsOpen checks that a body that is still being read
// counts toward the limit of concurrent bodies, and no longer after its timeout.
func TestSlowBodyTimesOutAndCountsAsOpen(t *testing.T) {
	is := is.New(t)
	set := startLimitedSet(t)
	slow := sendSlowly(t, set, trial.CallerKey)
	// While it is being read, the limit of one body refuses the next.
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	is.NoErr(trial.WaitUntil(ctx, func() bool {
		_, err := set.Client(0).Complete(ctx, trial.Request{}, nil)
		return codes.Has(err, codes.QueueFull)
	}))
	is.True(strings.Contains(readUntilClosed(t, slow), `"name":"slow_input","run":"not_run"`))
	// The limit admits the next body, which is refused for its content.
	checkRefused(t, set, badInputs["no prompt"])
}

// TestUnauthenticatedSlowBodyTimesOut checks that a request is rejected before its
// body is read, and that the connection is closed nevertheless.
func TestUnauthenticatedSlowBodyTimesOut(t *testing.T) {
	set := startLimitedSet(t)
	answer := readUntilClosed(t, sendSlowly(t, set, "not the key"))
	is.New(t).True(strings.Contains(answer, `"name":"unauthorized","run":"not_run"`))
}

// sendSlowly sends the header of a request and only the first byte of its body.
func sendSlowly(t *testing.T, set *trial.Cluster, key string) net.Conn {
	is := is.New(t)
	slow, err := net.Dial("tcp", set.Entries[0].Addr)
	is.NoErr(err)
	t.Cleanup(func() { slow.Close() })
	is.NoErr(slow.SetDeadline(time.Now().Add(10 * time.Second)))
	_, err = fmt.Fprintf(slow, "POST %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", completionsPath, key)
	is.NoErr(err)
	return slow
}

// readUntilClosed reads the connection until the server closes it.
func readUntilClosed(t *testing.T, conn net.Conn) string {
	data, err := io.ReadAll(conn)
	is.New(t).NoErr(err)
	return string(data)
}
