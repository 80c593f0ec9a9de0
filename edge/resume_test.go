package edge_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/extsim"
)

// resumeRoute is a route for resumable streams that three replicas may run.
const resumeRoute = `,{"name":"far","host":"h.example","prefix":"/long/far/","route_kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"priority":1,"service":"verse","max_attempts":3,"sticky":true,"resumable":true,"target_itl_ms":300}`

// resumeEvents is the number of events of a whole stream in these tests.
const resumeEvents = 12

// eventsBetween returns the events first to last with the given line end.
func eventsBetween(first, last int, eol string) string {
	text := ""
	for n := first; n <= last; n++ {
		text += fmt.Sprintf("id: %d%sdata: token%d%s%s", n, eol, n, eol, eol)
	}
	return text
}

// rawText returns a raw answer that is always the same but for the request's ID.
func rawText(f func(id string) string) extsim.RawAnswer {
	return extsim.RawAnswer{Text: func(id string, _ int) string { return f(id) }}
}

// chunkedStream returns a stream in chunks of the parts. If it is whole, the last
// chunk follows.
func chunkedStream(id string, whole bool, parts ...string) string {
	text := extsim.Head(200, id, extsim.EventStream, extsim.Chunked, "Seen-Engine: first")
	for _, p := range parts {
		text += extsim.Chunk(p)
	}
	if whole {
		text += extsim.Chunk("")
	}
	return text
}

// brokenStreams are first answers whose connection breaks, by the place of the break.
// begun is set if a whole event arrives before it.
var brokenStreams = map[string]struct {
	text  func(id string) string
	begun bool
	eol   string
}{
	"after the head":      {func(id string) string { return chunkedStream(id, false) }, false, "\n"},
	"in the first event":  {func(id string) string { return chunkedStream(id, false, "id: 1\nda") }, false, "\n"},
	"after an event":      {func(id string) string { return chunkedStream(id, false, eventsBetween(1, 1, "\n")) }, true, "\n"},
	"in a chunk's head":   {func(id string) string { return chunkedStream(id, false, eventsBetween(1, 3, "\n")) + "1" }, true, "\n"},
	"in the fourth event": {func(id string) string { return chunkedStream(id, false, eventsBetween(1, 3, "\n"), "id: 4\nda") }, true, "\n"},
	"in a chunk": {func(id string) string {
		return chunkedStream(id, false, eventsBetween(1, 3, "\n")) + "20\r\nid: 4\ndata: token4\n"
	}, true, "\n"},
	"in the line end of CRLF": {func(id string) string {
		return chunkedStream(id, false, eventsBetween(1, 3, "\r\n"), "id: 4\r\ndata: token4\r\n\r")
	}, true, "\r\n"},
	"in an event, without a length": {func(id string) string {
		return extsim.Head(200, id, extsim.EventStream, "Seen-Engine: first") + eventsBetween(1, 3, "\n") + "id: 4\ndata: to"
	}, true, "\n"},
	"at a second answer, without a length": {func(id string) string {
		return extsim.Head(200, id, extsim.EventStream, "Seen-Engine: first") + eventsBetween(1, 3, "\n") + extsim.Head(500, id, "Content-Length: 6") + "failed"
	}, true, "\n"},
	// The engines' events differ in length, as those of two runs do.
	"with a longer length": {func(id string) string {
		return streamOfLength(id, len(eventsBetween(1, resumeEvents, "\n"))+20)
	}, true, "\n"},
	"with a shorter length": {func(id string) string {
		return streamOfLength(id, len(eventsBetween(1, resumeEvents-2, "\n")))
	}, true, "\n"},
}

// streamOfLength returns the start of a stream with the given Content-Length.
func streamOfLength(id string, n int) string {
	return extsim.Head(200, id, extsim.EventStream, fmt.Sprintf("Content-Length: %d", n), "Seen-Engine: first") + eventsBetween(1, 3, "\n")
}

// badResumes are answers of an engine at which a broken stream doesn't continue.
// ordered is set if the fault is in the order of events, which only shows after
// the first one.
var badResumes = map[string]struct {
	answer  extsim.RawAnswer
	ordered bool
}{
	"500 with a text": {answer: rawText(func(id string) string {
		return extsim.Head(500, id, "Content-Length: 8") + "failed\n\n"
	})},
	"500 with events": {answer: rawText(func(id string) string {
		return extsim.Head(500, id, extsim.EventStream, extsim.Chunked) + extsim.Chunk(eventsBetween(1, resumeEvents, "\n")) + extsim.Chunk("")
	})},
	"503, not run": {answer: extsim.RawAnswer{NotRun: true, Text: func(id string, _ int) string {
		return extsim.Head(503, id, "Lacewinghook-Not-Executed: 1", "Content-Length: 6") + "full\n\n"
	}}},
	"503": {answer: rawText(func(id string) string { return extsim.Head(503, id, "Content-Length: 6") + "full\n\n" })},
	"421": {answer: extsim.RawAnswer{NotRun: true, Text: func(id string, _ int) string {
		return extsim.Head(421, id, "Content-Length: 7") + "other\n\n"
	}}},
	"a page": {answer: rawText(func(id string) string {
		return extsim.Head(200, id, "Content-Type: text/html", extsim.Chunked) + extsim.Chunk("<html>\n\nfailed\n\n</html>\n\n") + extsim.Chunk("")
	})},
	"an empty page": {answer: rawText(func(id string) string {
		return extsim.Head(200, id, "Content-Type: text/html", "Content-Length: 0")
	})},
	"an error's text as a stream": {answer: rawText(func(id string) string { return chunkedStream(id, true, "failed\n\n") })},
	"an interim answer alone": {answer: rawText(func(id string) string {
		return extsim.Head(103, id, "Link: x") + "failed\n\n"
	})},
	"no signature": {answer: extsim.RawAnswer{Text: func(id string, last int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nLacewinghook-Request-Id: %s\r\n%s\r\n\r\nid: %d\ndata: failed\n\n", id, extsim.EventStream, last+1)
	}}},
	"a reset after the head": {answer: extsim.RawAnswer{Reset: true, Text: func(id string, _ int) string {
		return extsim.Head(200, id, extsim.EventStream)
	}}},
	"events from the first one": {ordered: true, answer: rawText(func(id string) string {
		return chunkedStream(id, true, eventsBetween(1, resumeEvents, "\n"))
	})},
	"events that skip one": {ordered: true, answer: extsim.RawAnswer{Text: func(id string, last int) string {
		return chunkedStream(id, true, eventsBetween(last+2, resumeEvents, "\n"))
	}}},
	"events that go back": {ordered: true, answer: extsim.RawAnswer{Text: func(id string, last int) string {
		return chunkedStream(id, true, eventsBetween(last+1, last+2, "\n"), eventsBetween(last+1, resumeEvents, "\n"))
	}}},
	"events without IDs": {ordered: true, answer: rawText(func(id string) string {
		return chunkedStream(id, true, "data: token\n\ndata: token\n\n")
	})},
	"no event and no last chunk": {answer: rawText(func(id string) string { return chunkedStream(id, false) })},
	"no event and no length": {answer: rawText(func(id string) string {
		return extsim.Head(200, id, extsim.EventStream)
	})},
	"a head that breaks off": {answer: rawText(func(id string) string { return extsim.Head(200, id, extsim.EventStream)[:60] })},
	"a head without an end": {answer: rawText(func(id string) string {
		return strings.TrimSuffix(extsim.Head(200, id, extsim.EventStream), "\r\n") + strings.Repeat("X-Line: failed\r\n", 1<<14)
	})},
	"no HTTP": {answer: rawText(func(string) string { return "failed\r\n\r\nid: 4\ndata: failed\n\n" })},
}

// TestErrorsInsideResumedStreams guards against an error's text or head in the middle
// of a caller's stream, against events that are missing or come twice, and against a
// truncated stream that looks complete.
func TestErrorsInsideResumedStreams(t *testing.T) {
	for name, bad := range badResumes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.retries.Slack = 10_000 // the cases share the budget of one site
			s.publish(2, 1000, resumeRoute)
			s.decode = append(s.decode, s.replica("g-2", "verse", "decode"))
			script := &extsim.Script{}
			for _, d := range s.decode {
				d.EventCount = resumeEvents
				d.SetScript(script)
			}
			r := s.startReady()
			n := 0
			for place, first := range brokenStreams {
				for _, sound := range []bool{true, false} {
					if bad.ordered && !first.begun {
						continue
					}
					n++
					id := fmt.Sprintf("id-%d", n)
					t.Run(fmt.Sprintf("%s/sound engine %v", place, sound), func(t *testing.T) {
						answers := []extsim.RawAnswer{rawText(first.text), bad.answer}
						for !sound && len(answers) < 8 {
							answers = append(answers, bad.answer)
						}
						script.Set(answers...)
						got := r.do(context.Background(), callerRequest{id: id, path: "/long/far/" + id, body: "p"})
						script.Set()
						checkCallersStream(t, got, first.eol, sound)
					})
				}
			}
		})
	}
}

// checkCallersStream checks that the caller's stream has only events of the stream in
// order, that it isn't complete unless it is whole, and that it is whole if the third
// engine was sound.
func checkCallersStream(t *testing.T, got answer, eol string, sound bool) {
	t.Helper()
	is := is.New(t)
	t.Logf("status %d, error %v, body %q", got.status, got.err, got.body)
	is.Equal(got.status, 200)
	is.Equal(got.header.Get("Seen-Engine"), "first")
	whole := eventsBetween(1, resumeEvents, "\n")
	body := strings.ReplaceAll(got.body, eol, "\n")
	is.True(strings.HasPrefix(whole, body))
	is.True(got.err != nil || body == whole)
	if sound {
		is.NoErr(got.err)
		is.Equal(body, whole)
	}
}

// TestStreamsWithoutLength guards against truncated streams that look complete: the
// body of the answer ends with its connection. A stream that can't continue elsewhere
// must be truncated for the caller too.
func TestStreamsWithoutLength(t *testing.T) {
	head := func(id string) string { return extsim.Head(200, id, extsim.EventStream, "Seen-Engine: first") }
	for name, c := range map[string]struct {
		text  func(id string) string
		whole bool
		reset bool
	}{
		"whole":            {text: func(id string) string { return head(id) + eventsBetween(1, resumeEvents, "\n") }, whole: true},
		"whole, but reset": {text: func(id string) string { return head(id) + eventsBetween(1, resumeEvents, "\n") }, reset: true},
		"whole, CRLF":      {text: func(id string) string { return head(id) + eventsBetween(1, resumeEvents, "\r\n") }, whole: true},
		"no event":         {text: head},
		"in an event":      {text: func(id string) string { return head(id) + eventsBetween(1, 3, "\n") + "id: 4\ndata: to" }},
		"in a line end":    {text: func(id string) string { return head(id) + eventsBetween(1, 3, "\r\n") + "id: 4\r\ndata: to\r\n\r" }},
		"a second answer":  {text: func(id string) string { return head(id) + eventsBetween(1, 3, "\n") + extsim.Head(500, id) + "failed" }},
		"a second success": {text: func(id string) string {
			return strings.Repeat(head(id)+eventsBetween(1, 3, "\n"), 2)
		}},
	} {
		for _, path := range []string{"/verse/a", "/long/a"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newSite(t)
				script := &extsim.Script{}
				for _, d := range s.decode {
					d.EventCount = resumeEvents
					d.SetScript(script)
				}
				r := s.startReady()
				answer := rawText(c.text)
				answer.Reset = c.reset
				script.Set(answer)
				got := r.do(context.Background(), callerRequest{id: "id-1", path: path})
				t.Logf("status %d, error %v, body %q", got.status, got.err, got.body)
				if !c.reset {
					// A reset may arrive before the head is read.
					is.Equal(got.header.Get("Seen-Engine"), "first")
				}
				body := strings.ReplaceAll(got.body, "\r\n", "\n")
				whole := eventsBetween(1, resumeEvents, "\n")
				is.True(got.status != 200 || strings.HasPrefix(whole, body))
				is.Equal(got.err == nil && got.status == 200, c.whole || path == "/long/a")
				is.True(got.err != nil || got.status != 200 || body == whole)
			})
		}
	}
}

// TestInterimAnswers guards against a success that no engine sent: an interim answer
// with the request's ID was forwarded as the answer, and completed as an empty 200.
func TestInterimAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		text   func(id string) string
		path   string
		status int
		body   string
	}{
		"before an answer": {func(id string) string {
			return extsim.Head(103, id, "Link: x") + extsim.Head(102, id) + chunkedStream(id, true, eventsBetween(1, 4, "\n"))
		}, "/verse/a", 200, streamBody(4)},
		"alone":                {func(id string) string { return extsim.Head(103, id, "Link: x") }, "/verse/a", 502, ""},
		"alone, resumable":     {func(id string) string { return extsim.Head(103, id, "Link: x") }, "/long/a", 200, streamBody(4)},
		"status 0":             {func(id string) string { return "HTTP/1.1 000 OK\r\nLacewinghook-Request-Id: " + id + "\r\n\r\n" }, "/verse/a", 502, ""},
		"status 99, resumable": {func(id string) string { return "HTTP/1.1 099 OK\r\nLacewinghook-Request-Id: " + id + "\r\n\r\n" }, "/long/a", 200, streamBody(4)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			script := &extsim.Script{}
			for _, d := range s.decode {
				d.SetScript(script)
			}
			r := s.startReady()
			script.Set(rawText(c.text))
			got := r.do(context.Background(), callerRequest{id: "id-1", path: c.path})
			t.Logf("status %d, error %v, body %q", got.status, got.err, got.body)
			is.NoErr(got.err)
			is.Equal(got.status, c.status)
			is.True(strings.Contains(got.body, c.body))
		})
	}
}
