package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/engine"
	"lacewinghook.example/lacewinghook/meter"
)

// responseBody is a transport that responds to every call with its text.
type responseBody string

// RoundTrip implements [http.RoundTripper].
func (b responseBody) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(string(b)))}, nil
}

// streamID is the ID of the request whose stream is read.
var streamID = core.ID{Owner: core.Owner{Instance: "a", Boot: 1}, Seq: 2}

// The ID and attempt of an event in JSON: those of the request, those of another
// request, and those of an earlier attempt.
const (
	own   = `"id":"a.0000000000000001.2","attempt":3`
	other = `"id":"a.0000000000000001.9","attempt":3`
	old   = `"id":"a.0000000000000001.2","attempt":2`
)

// tokenEvent returns an event with one token. identity is its ID and attempt in
// JSON.
func tokenEvent(identity string, offset int, text string) string {
	return fmt.Sprintf(`data: {%s,"offset":%d,"choices":[{"text":%s}]}`+"\n\n", identity, offset, text)
}

// endMarker returns an end marker that states count tokens.
func endMarker(identity string, count int) string {
	return fmt.Sprintf(`data: {%s,"offset":%d,"choices":[{"text":"","finish_reason":"stop"}],"usage":{"completion_tokens":%d}}`+"\n\n", identity, count, count)
}

// resume reads a stream from token 5 on and returns its text and finish reason.
func resume(stream string, m *meter.Registry) (string, error) {
	c := &engine.Client{HTTP: &http.Client{Transport: responseBody(stream)}, Meter: m}
	got := ""
	err := c.Resume(context.Background(), core.Upstream{Name: "d1", Addr: "x"}, streamID, 3, 5, func(t core.Token) error {
		got += t.Text + t.Finish
		return nil
	})
	return got, err
}

// TestStreamCompleteOrError checks that a stream with any fault returns an error,
// and that no token of another request or attempt is delivered.
func TestStreamCompleteOrError(t *testing.T) {
	good := tokenEvent(own, 5, `"one "`) + tokenEvent(own, 6, `"two "`)
	for _, c := range []struct {
		name, stream, text string
		code               codes.Code
		dropped            uint64
	}{
		{"whole", good + endMarker(own, 7), "one two stop", 0, 0},
		{"comments and other fields between", ": ping\n\nevent: x\n" + good + endMarker(own, 7), "one two stop", 0, 0},
		{"escapes", tokenEvent(own, 5, `"\u00fc\n\"<"`) + endMarker(own, 6), "ü\n\"<stop", 0, 0},
		{"not ASCII", tokenEvent(own, 5, `"Kaffeemühle "`) + endMarker(own, 6), "Kaffeemühle stop", 0, 0},
		{"empty", "", "", codes.UpstreamLost, 0},
		{"no end marker", good, "one two ", codes.UpstreamLost, 0},
		{"cut in the middle of an event", good + tokenEvent(own, 7, `"three "`)[:40], "one two ", codes.UpstreamLost, 0},
		{"cut in the end marker", good + endMarker(own, 7)[:60], "one two ", codes.UpstreamLost, 0},
		{"a token missing", tokenEvent(own, 5, `"one "`) + tokenEvent(own, 7, `"three "`), "one ", codes.UpstreamLost, 0},
		{"a token repeated", tokenEvent(own, 5, `"one "`) + tokenEvent(own, 5, `"one "`), "one ", codes.UpstreamLost, 0},
		{"marker counts too many", good + endMarker(own, 8), "one two ", codes.UpstreamLost, 0},
		{"marker without a count", good + strings.ReplaceAll(endMarker(own, 7), "usage", "other"), "one two ", codes.UpstreamLost, 0},
		{"another request's token", good + tokenEvent(other, 7, `"hers "`), "one two ", codes.WrongAnswer, 1},
		{"another request's end", good + endMarker(other, 7), "one two ", codes.WrongAnswer, 1},
		{"an old attempt's token", tokenEvent(old, 5, `"one "`), "", codes.WrongAnswer, 1},
		{"CRLF", strings.ReplaceAll(good+endMarker(own, 7), "\n", "\r\n"), "one two stop", 0, 0},
		{"CRLF, cut in a line end", strings.ReplaceAll(good, "\n", "\r\n") + strings.TrimSpace(tokenEvent(own, 7, `"three "`)) + "\r", "one two three ", codes.UpstreamLost, 0},
		{"from the first token", tokenEvent(own, 0, `"zero "`) + tokenEvent(own, 1, `"half "`), "", codes.UpstreamLost, 0},
		{"an answer's head inside", good + "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed", "one two ", codes.UpstreamLost, 0},
		{"an error's text inside", good + "failed\n\n" + tokenEvent(own, 7, `"three "`) + endMarker(own, 8), "one two three stop", 0, 0},
		{"a page", "<html>\n\nfailed\n\n</html>\n", "", codes.UpstreamLost, 0},
		{"an error in JSON", good + `data: {"error":{"name":"failed"}}` + "\n\n", "one two ", codes.UpstreamLost, 0},
		{"not JSON", "data: <html>\n\n", "", codes.UpstreamLost, 0},
		{"superseded", good + `data: {` + own + `,"offset":7,"error":"superseded"}` + "\n\n", "one two ", codes.Superseded, 0},
		{"cancelled", good + `data: {` + own + `,"offset":7,"error":"cancelled"}` + "\n\n", "one two ", codes.UpstreamLost, 0},
		{"an oversized event", "data: " + strings.Repeat("x", 2<<20), "", codes.UpstreamLost, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := &meter.Registry{}
			got, err := resume(c.stream, m)
			is.Equal(got, c.text)
			is.Equal(err == nil, c.code == 0)
			if err != nil {
				is.Equal(codes.From(err).Code, c.code)
			}
			is.Equal(m.Value("dropped_answers_total", "reason", "wrong_id")+m.Value("dropped_answers_total", "reason", "old_attempt"), c.dropped)
		})
	}
}

// FuzzStreamEvent checks that every delivered event equals the result of the JSON
// decoder, so that the fast parser accepts nothing that it misreads.
func FuzzStreamEvent(f *testing.F) {
	for _, text := range []string{`"one "`, `"ü"`, `"\u0000"`, `"a"}]},{"text":"b"`, `"`, `1`, `"a","text":"b"`} {
		f.Add([]byte(strings.TrimSpace(tokenEvent(own, 5, text))))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		event := bytes.TrimPrefix(data, []byte("data: "))
		if bytes.ContainsAny(event, "\r\n") {
			return
		}
		got, _ := resume("data: "+string(event)+"\n\n", nil)
		if got == "" {
			return
		}
		var e struct {
			ID      string
			Attempt int
			Offset  int
			Choices []struct {
				Text   string
				Finish string `json:"finish_reason"`
			}
		}
		is := is.New(t)
		is.NoErr(json.Unmarshal(event, &e))
		is.Equal(e.ID, streamID.String())
		is.Equal(e.Attempt, 3)
		is.Equal(e.Offset, 5)
		is.Equal(got, e.Choices[0].Text+e.Choices[0].Finish)
	})
}
