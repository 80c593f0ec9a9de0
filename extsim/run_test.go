package extsim_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/extsim"
)

// ask sends a request to a replica and returns its answer.
func ask(t *testing.T, r *extsim.Replica, c extsim.Call) extsim.Answer {
	t.Helper()
	conn, err := extsim.Dial(context.Background(), r.Addr)
	is.New(t).NoErr(err)
	defer conn.Close()
	return conn.Ask(context.Background(), c)
}

// TestCaller checks what a caller sees of a whole answer, a cut one, none, and of its own
// patience.
func TestCaller(t *testing.T) {
	for name, c := range map[string]struct {
		fault    extsim.Fault
		patience time.Duration
		want     func(a extsim.Answer) bool
	}{
		"whole":     {"", time.Second, func(a extsim.Answer) bool { return a.Complete && a.Status == 200 && a.Body == "x answer" }},
		"cut":       {extsim.CutAnswer, time.Second, func(a extsim.Answer) bool { return !a.Complete && !a.Impatient && a.Received > 0 && a.Err != nil }},
		"lost":      {extsim.LoseAnswer, time.Second, func(a extsim.Answer) bool { return !a.Complete && !a.Impatient && a.Received == 0 && a.Err != nil }},
		"impatient": {extsim.Hang, 20 * time.Millisecond, func(a extsim.Answer) bool { return !a.Complete && a.Impatient }},
		"extra":     {extsim.DuplicateAnswer, time.Second, func(a extsim.Answer) bool { return a.Complete && a.Stray }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := extsim.NewReplica(t, "i-1", "desk", "")
			r.Tagged, r.Body = true, "answer"
			if c.fault != "" {
				r.InjectFault(c.fault, 1)
			}
			if c.fault == extsim.CutAnswer {
				// A shorter one isn't sent before the cut.
				r.Body = strings.Repeat("answer", 2000)
			}
			a := ask(t, r, extsim.Call{ID: "x", Host: "h", Path: "/once/1", Body: "b", Patience: c.patience})
			is.True(!a.Sent.IsZero())
			is.True(c.want(a))
			runs := r.Runs()
			is.Equal(len(runs), 1)
			is.Equal(runs[0].Target, "/once/1")
			is.Equal(runs[0].Digest, extsim.BodyDigest("b"))
		})
	}
}

// TestOutstanding checks that a hold counts as outstanding until it is released.
func TestOutstanding(t *testing.T) {
	is := is.New(t)
	r := extsim.NewReplica(t, "i-1", "verse", "decode")
	start := time.Now()
	a := ask(t, r, extsim.Call{ID: "x", Path: "/hold-take", Body: `{"tokens":1,"ttl_ms":1}`})
	is.Equal(a.Status, 200)
	all := []*extsim.Replica{r}
	is.Equal(len(extsim.Outstanding(all, start, time.Now())), 1)
	is.Equal(len(extsim.Outstanding(all, time.Now(), time.Now())), 0)
	ask(t, r, extsim.Call{ID: "x", Method: "DELETE", Path: "/hold-drop/h1"})
	is.Equal(len(extsim.Outstanding(all, start, time.Now())), 0)
}

// TestCutStream checks that a stream is cut within an event, tagged or not.
func TestCutStream(t *testing.T) {
	for name, c := range map[string]struct {
		tagged bool
		whole  string
	}{
		"plain":  {false, "id: 1\ndata: token1\n\nid: 2\ndata: token2\n\nid: 3\ndata: token3\n\n"},
		"tagged": {true, extsim.TaggedEvents("x", 0, 3)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := extsim.NewReplica(t, "i-1", "verse", "decode")
			r.Tagged = c.tagged
			r.InjectFault(extsim.CutAnswer, 1)
			a := ask(t, r, extsim.Call{ID: "x", Host: "h", Path: "/verse/1", Generates: true})
			is.True(!a.Complete)
			is.Equal(a.Body+"ken3\n\n", c.whole)
		})
	}
}

// TestCutRequestIsNotRun guards against a replica that runs a request whose body was cut.
func TestCutRequestIsNotRun(t *testing.T) {
	is := is.New(t)
	r := extsim.NewReplica(t, "i-1", "desk", "")
	conn, err := net.Dial("tcp", r.Addr)
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /once/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\nLacewinghook-Request-Id: x\r\n\r\nhalf")
	is.NoErr(err)
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	// The end of the connection shows that the replica is done with the request.
	_, _ = io.ReadAll(conn)
	is.Equal(len(r.Runs()), 0)
}

// TestPace checks that a replica makes answers as their requests say.
func TestPace(t *testing.T) {
	is := is.New(t)
	r := extsim.NewReplica(t, "i-1", "verse", "decode")
	r.Tagged, r.Silence = true, 30*time.Millisecond
	r.Pace = func(id string) extsim.Pace {
		if id == "usual" {
			return extsim.Pace{}
		}
		return extsim.Pace{Events: 9, Interval: 2 * time.Millisecond, Silent: []int{3, 5}}
	}
	a := ask(t, r, extsim.Call{ID: "usual", Host: "h", Path: "/verse/1", Patience: time.Second})
	is.Equal(a.Body, extsim.TaggedEvents("usual", 0, r.EventCount))
	a = ask(t, r, extsim.Call{ID: "x", Host: "h", Path: "/verse/1", Patience: time.Second})
	is.Equal(a.Body, extsim.TaggedEvents("x", 0, 9))
	is.True(a.Ended.Sub(a.Sent) >= 2*r.Silence)
	is.Equal(r.Running(), 0)
}
