package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/relay"
)

// streamLength is the number of events of a complete stream in these tests.
const streamLength = 6

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

// badAnswers are the answers of the engine at which a broken stream continues.
var badAnswers = map[string]badAnswer{
	"500 with a text":      withStatus(500, "failed\n\n"),
	"500 with events":      withStatus(500, events(1, 6, "\n")),
	"503":                  withStatus(503, "full\n\n"),
	"302":                  withStatus(302, "moved\n\n"),
	"refused":              withError(codes.UpstreamRefused),
	"lost before the head": withError(codes.UpstreamLost),
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
					checkResumed(t, b.body, b.lines, bad, sound)
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
