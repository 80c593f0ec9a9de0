package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pool"
	"lacewinghook.example/lacewinghook/relay"
)

// streamLength is the number of events of a complete stream in these tests.
const streamLength = 12

// events returns the events first to last of a stream with the given line end.
func events(first, last int, eol string) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		fmt.Fprintf(&b, "id: %d%sdata: token%d%s%s", n, eol, n, eol, eol)
	}
	return b.String()
}

// truncated is a body whose connection breaks at its end.
func truncated(text string) io.Reader {
	return io.MultiReader(strings.NewReader(text), brokenReader{})
}

// brokenReader returns a read error.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// signature is the header that distinguishes the heads of two engines in these
// tests.
const signature = "Signature"

// streamAnswer returns an answer with a stream, from the engine with the given
// signature.
func streamAnswer(sig string, body io.Reader) relay.Answer {
	h := http.Header{"Content-Type": {"text/event-stream"}, signature: {sig}}
	return relay.Answer{Reply: core.Reply{Status: 200, Header: h, Length: -1}, Body: io.NopCloser(body)}
}

// soundAnswer returns the events after lastID up to the last one of the stream.
func soundAnswer(sig, lastID, eol string) relay.Answer {
	last, _ := strconv.Atoi(lastID) // 0 if lastID is empty
	return streamAnswer(sig, strings.NewReader(events(last+1, streamLength, eol)))
}

// pieceReader returns a reader that returns at most size bytes at a time.
func pieceReader(r io.Reader, size int) io.Reader { return &pieces{r, size} }

type pieces struct {
	r    io.Reader
	size int
}

func (p *pieces) Read(b []byte) (int, error) { return p.r.Read(b[:min(len(b), p.size)]) }

// breaks are the first answers of an engine whose connection breaks, by the place
// where it breaks. lines is the line end of the stream.
var breaks = map[string]struct{ body, lines string }{
	"before the first event":       {"", "\n"},
	"within the first event":       {"id: 1\nda", "\n"},
	"within the first ID":          {"id: ", "\n"},
	"after 1 event":                {events(1, 1, "\n"), "\n"},
	"after 3 events":               {events(1, 3, "\n"), "\n"},
	"within the 4th event":         {events(1, 3, "\n") + "id: 4\ndata: tok", "\n"},
	"between the last line ends":   {events(1, 3, "\n") + "id: 4\ndata: token4\n", "\n"},
	"after 3 events, CRLF":         {events(1, 3, "\r\n"), "\r\n"},
	"within the 4th event, CRLF":   {events(1, 3, "\r\n") + "id: 4\r\nda", "\r\n"},
	"within a line end, CRLF":      {events(1, 3, "\r\n") + "id: 4\r", "\r\n"},
	"within the data's end, CRLF":  {events(1, 3, "\r\n") + "id: 4\r\ndata: token4\r", "\r\n"},
	"between the line ends, CRLF":  {events(1, 3, "\r\n") + "id: 4\r\ndata: token4\r\n", "\r\n"},
	"within the event's end, CRLF": {events(1, 3, "\r\n") + "id: 4\r\ndata: token4\r\n\r", "\r\n"},
}

// badAnswer returns the answer of an engine that does not continue the stream after
// lastID.
type badAnswer func(lastID int, eol string) (relay.Answer, error)

// withStatus returns an answer with another status and a short text.
func withStatus(status int, text string) badAnswer {
	return func(int, string) (relay.Answer, error) {
		a := streamAnswer("bad", strings.NewReader(text))
		a.Status = status
		a.Header.Set("Content-Type", "text/plain")
		return a, nil
	}
}

// withError returns an error instead of an answer.
func withError(code codes.Code) badAnswer {
	return func(int, string) (relay.Answer, error) { return relay.Answer{}, codes.New(code, "test") }
}

// withEvents returns a success with the events of ids, which are relative to the
// last one received.
func withEvents(ids ...int) badAnswer {
	return func(last int, eol string) (relay.Answer, error) {
		text := ""
		for _, id := range ids {
			text += events(last+id, last+id, eol)
		}
		return streamAnswer("bad", strings.NewReader(text)), nil
	}
}

// withBody returns a success with a stream of the given text.
func withBody(text string) badAnswer {
	return func(int, string) (relay.Answer, error) { return streamAnswer("bad", strings.NewReader(text)), nil }
}

// withoutEvents returns an answer without a body, with the given status and content
// type.
func withoutEvents(status int, contentType string) badAnswer {
	return func(int, string) (relay.Answer, error) {
		a := streamAnswer("bad", strings.NewReader(""))
		a.Status = status
		a.Header.Set("Content-Type", contentType)
		return a, nil
	}
}

// badAnswers are the answers of the engine at which a broken stream continues.
var badAnswers = map[string]badAnswer{
	"500 with a text":               withStatus(500, "failed\n\n"),
	"500 with events":               withStatus(500, events(1, streamLength, "\n")),
	"503":                           withStatus(503, "full\n\n"),
	"302":                           withStatus(302, "moved\n\n"),
	"refused":                       withError(codes.UpstreamRefused),
	"lost before the head":          withError(codes.UpstreamLost),
	"200 of another type":           withoutEvents(200, "text/html"),
	"204":                           withoutEvents(204, "text/event-stream"),
	"200 without a type":            withoutEvents(200, ""),
	"a page":                        withBody("<html>\n\n<body>failed</body>\n\n</html>\n\n"),
	"an error as a text":            withBody("internal error\n\nat line 7\n\n"),
	"an error as a field":           withBody("Error: the engine is out of memory\n\n"),
	"an error as an event":          withBody("event: error\ndata: the engine is out of memory\n\n"),
	"an error as a head":            withBody("HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nfailed"),
	"an error in JSON":              withBody("{\"error\":\"failed\"}\n\n"),
	"events from the first one":     func(_ int, eol string) (relay.Answer, error) { return soundAnswer("bad", "", eol), nil },
	"events from the last one":      withEvents(0, 1, 2),
	"events that skip one":          withEvents(2, 3),
	"events that skip one later":    withEvents(1, 3),
	"an event twice":                withEvents(1, 1, 2),
	"events that go back":           withEvents(1, 2, 1, 2, 3),
	"events without IDs":            withBody("data: token\n\ndata: token\n\n"),
	"events with IDs of words":      withBody("id: a\ndata: token\n\nid: b\ndata: token\n\n"),
	"an ID of another event inside": withBody("id: 1\nid: 99\ndata: token\n\n"),
}

// TestErrorsInsideResumedStreams guards against the text of an error in the middle of
// a stream, against events that are missing or come twice, and against a truncated
// stream that looks complete.
func TestErrorsInsideResumedStreams(t *testing.T) {
	for place, b := range breaks {
		for name, bad := range badAnswers {
			for _, sound := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%s/sound engine %v", place, name, sound), func(t *testing.T) {
					t.Parallel()
					inBubble(func(t *testing.T) { checkResumed(t, b.body, b.lines, bad, sound) })(t)
				})
			}
		}
	}
}

// checkResumed runs a stream that breaks after body, continues at an engine that
// answers with bad, and then at a sound engine or nowhere.
func checkResumed(t *testing.T, body, eol string, bad badAnswer, sound bool) {
	is := is.New(t)
	u := &upstreams{}
	sends := 0
	u.send = func(_ core.Upstream, s relay.SendRequest) (relay.Answer, error) {
		sends++
		last, _ := strconv.Atoi(s.LastEventID) // 0 if it is empty
		switch {
		case sends == 1:
			return streamAnswer("first", pieceReader(truncated(body), 7)), nil
		case sends == 2 || !sound:
			return bad(last, eol)
		}
		return soundAnswer("third", s.LastEventID, eol), nil
	}
	engines := []string{"g-0", "g-1"}
	if sound {
		engines = append(engines, "g-2")
	}
	r, _ := newRelayOf(u, &budget{retriesLeft: 9}, engines...)
	s := &sink{}
	err := r.Run(context.Background(), request(r, core.HostRoute{Resumable: true, Profile: core.Profile{Retries: 2}}), s)
	got := s.body.String()
	whole := events(1, streamLength, eol)
	t.Logf("error %v, %d sends, body %q", err, sends, got)
	is.True(s.head != nil)
	is.Equal(s.head.Header.Get(signature), "first")
	is.Equal(s.head.Status, 200)
	for _, text := range []string{"failed", "internal error", "Error", "<html>", "HTTP/1.1"} {
		is.True(!strings.Contains(got, text))
	}
	firstRun := !strings.Contains(body, eol+eol)
	if firstRun && got != "" && !strings.HasPrefix(whole, got) {
		// No event was forwarded before the break, so that the second engine's answer
		// is the first run of the stream.
		return
	}
	is.True(strings.HasPrefix(whole, got)) // only events of the stream, in order
	is.True(err != nil || got == whole)    // a truncated stream isn't complete
	if sound && !firstRun {
		is.NoErr(err)
		is.Equal(got, whole)
	}
}

// TestStreamsThatCannotResume guards against events that come twice: a stream whose
// events have no numbers in order breaks, and the next engine starts from the first
// event, since it got no ID or one that says nothing of the events after it.
func TestStreamsThatCannotResume(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		// resumes is set if the stream continues at another engine, after the event
		// with the ID after.
		resumes bool
		after   string
	}{
		"no IDs":                         {body: "data: a\n\ndata: b\n\n"},
		"no IDs, broken in an event":     {body: "data: a\n\ndat"},
		"IDs of words":                   {body: "id: a\ndata: a\n\nid: b\ndata: b\n\n"},
		"an event without an ID at last": {body: events(1, 2, "\n") + "data: c\n\n"},
		"an event without an ID before":  {body: "data: c\n\n" + events(1, 2, "\n")},
		"an ID is missing":               {body: events(1, 2, "\n") + events(4, 4, "\n")},
		"an ID comes twice":              {body: events(1, 2, "\n") + events(2, 2, "\n")},
		"no whole event":                 {body: "data: a\n", resumes: true},
		"a comment at last":              {body: events(1, 2, "\n") + ": idle\n\n", resumes: true, after: "2"},
		"a comment and other fields":     {body: ": hello\n\nretry: 100\n\nevent: x\nid: 1\ndata: token1\n\n", resumes: true, after: "1"},
		"the first ID isn't 1":           {body: events(0, 2, "\n"), resumes: true, after: "2"},
		"other fields in an event":       {body: "weights: 3\nid: 1\ndata: token1\n\n", resumes: true, after: "1"},
		"mixed line ends":                {body: "id: 1\r\ndata: token1\n\r\nid: 2\ndata: token2\r\n\n", resumes: true, after: "2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &upstreams{}
			sends, after := 0, ""
			u.send = func(_ core.Upstream, s relay.SendRequest) (relay.Answer, error) {
				if sends++; sends == 1 {
					return streamAnswer("first", truncated(c.body)), nil
				}
				after = s.LastEventID
				return soundAnswer("second", s.LastEventID, "\n"), nil
			}
			r, _ := newRelay(u, &budget{retriesLeft: 9})
			s := &sink{}
			err := r.Run(context.Background(), request(r, core.HostRoute{Resumable: true, Profile: core.Profile{Retries: 2}}), s)
			t.Logf("error %v, body %q", err, s.body.String())
			is.Equal(err == nil, c.resumes)
			if !c.resumes {
				is.Equal(sends, 1)
				is.True(strings.HasPrefix(c.body, s.body.String()))
				return
			}
			is.Equal(after, c.after)
			is.True(strings.HasSuffix(s.body.String(), events(streamLength, streamLength, "\n")))
		})
	}
}

// TestCallersLastEventID checks that a stream which a caller resumes starts after the
// event that the caller names, if that is a number.
func TestCallersLastEventID(t *testing.T) {
	for _, c := range []struct{ last, body, want string }{
		{"3", events(4, streamLength, "\n"), events(4, streamLength, "\n")},
		{"3", events(1, streamLength, "\n"), ""},
		{"3", events(5, streamLength, "\n"), ""},
		{"12", "", ""},
		{"word", events(1, streamLength, "\n"), events(1, streamLength, "\n")},
		{"", events(1, streamLength, "\n"), events(1, streamLength, "\n")},
	} {
		t.Run(fmt.Sprintf("%s %q", c.last, c.body), func(t *testing.T) {
			is := is.New(t)
			u := &upstreams{send: func(core.Upstream, relay.SendRequest) (relay.Answer, error) {
				return streamAnswer("first", strings.NewReader(c.body)), nil
			}}
			r, _ := newRelay(u, &budget{retriesLeft: 9})
			s := &sink{}
			req := request(r, core.HostRoute{Resumable: true, Profile: core.Profile{Retries: 2}})
			req.Opaque.LastEventID = c.last
			err := r.Run(context.Background(), req, s)
			is.Equal(err == nil, c.body == c.want)
			is.Equal(s.body.String(), c.want)
		})
	}
}

// pieceSink records the memory that is counted at the engines when events arrive.
type pieceSink struct {
	sink
	table *pool.Table
	// least and most are the bounds of the pieces counted.
	least, most int
}

func (s *pieceSink) Write(p []byte) error {
	n := 0
	for _, l := range s.table.Loads() {
		n += l.Work.Pieces
	}
	if s.least == 0 {
		s.least = n
	}
	s.most = max(s.most, n)
	return s.sink.Write(p)
}

// TestEventsWithCRLFAreCounted guards against memory that isn't counted at an engine:
// the events of a stream whose lines end with CRLF counted as one a part.
func TestEventsWithCRLFAreCounted(t *testing.T) {
	for _, eol := range []string{"\n", "\r\n"} {
		t.Run(fmt.Sprintf("%q", eol), func(t *testing.T) {
			is := is.New(t)
			// The request reserves memory for 170 events.
			u := &upstreams{send: func(core.Upstream, relay.SendRequest) (relay.Answer, error) {
				return streamAnswer("first", io.MultiReader(strings.NewReader(events(1, 1, eol)), strings.NewReader(events(2, 250, eol)))), nil
			}}
			r, table := newRelay(u, &budget{retriesLeft: 9})
			s := &pieceSink{table: table}
			is.NoErr(r.Run(context.Background(), request(r, core.HostRoute{Resumable: true}), s))
			is.Equal(s.most, s.least+1)
		})
	}
}

// TestUnnumberedStreamIsNotGivenUp guards against a stream that is truncated though its
// engine sends it to the end: after a silence it was given up for another engine, at
// which a stream without numbered events can't continue.
func TestUnnumberedStreamIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	u := &ctxUpstreams{}
	sends := 0
	u.sendCtx = func(ctx context.Context, _ core.Upstream, s relay.SendRequest) (relay.Answer, error) {
		if sends++; sends > 1 {
			return soundAnswer("second", s.LastEventID, "\n"), nil
		}
		r, w := io.Pipe()
		context.AfterFunc(ctx, func() { _ = w.CloseWithError(ctx.Err()) })
		go func() {
			_, _ = io.WriteString(w, "data: a\n\n")
			time.Sleep(400 * time.Millisecond) // 4 times the longest silence
			_, _ = io.WriteString(w, "data: b\n\n")
			_ = w.Close()
		}()
		return streamAnswer("first", r), nil
	}
	r, _ := ctxRelay(u, &budget{retriesLeft: 9})
	s := &sink{}
	is.NoErr(r.Run(context.Background(), request(r, resumable), s))
	is.Equal(s.body.String(), "data: a\n\ndata: b\n\n")
	is.Equal(sends, 1)
}
