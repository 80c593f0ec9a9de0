package edge_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"lacewinghook.example/lacewinghook/extsim"
)

// maxValueBytes is the largest value of a row that the platform's store accepts.
const maxValueBytes = 64 << 10

// putOddRows writes rows that name no replica, as another writer would, and returns
// their keys. Some have the address of a sound replica or lead to this host.
func (s *site) putOddRows() []string {
	sound := s.services[0].Row("ready")
	_, port, err := net.SplitHostPort(s.services[0].Addr)
	if err != nil {
		s.t.Fatal(err)
	}
	replace := func(old, with string) string { return strings.Replace(sound, old, with, 1) }
	rows := []string{
		replace(`"seq_no":4`, `"seq_no":`+strings.Repeat("[", 5000)+strings.Repeat("]", 5000)),
		strings.Repeat("[", maxValueBytes/2) + strings.Repeat("]", maxValueBytes/2), strings.Repeat(`{"a":`, maxValueBytes/5),
		replace(`"slots":64`, `"slots":1e400`), replace(`"seq_no":4`, `"seq_no":99999999999999999999`),
		replace(`"born":17`, `"born":99999999999999999999`), replace(`"born":17`, `"born":-17`), replace(`"slots":64`, `"slots":1.5`),
		replace(":"+port, ":0"), replace(":"+port, ":65536"), replace(":"+port, ":-1"), replace(":"+port, ""),
		replace("127.0.0.1:", "0.0.0.0:"), replace("127.0.0.1:", "224.0.0.1:"), replace("127.0.0.1:", "localhost:"),
		replace("127.0.0.1:", "[::ffff:0.0.0.0]:"), replace("127.0.0.1:", "[fe80::1%lo]:"),
		replace(`"moose-jaw"`, `null`), replace("moose", "m\xffose"), replace(`"desk"`, `"`+strings.Repeat("desk", 15000)+`"`),
		replace(`"ready"`, `"Ready"`), replace(`"state"`, `"STATE"`), "", "\xff\xfe", strings.Repeat("9", maxValueBytes),
	}
	var keys []string
	for i, row := range rows {
		keys = append(keys, fmt.Sprintf("odd-%02d", i))
		s.store.Put("servers", keys[i], row)
	}
	for i, value := range []string{`7`, `"%"`, `null`, `{"a":[]}`} {
		keys = append(keys, fmt.Sprintf("odd-raw-%d", i))
		s.store.PutRaw("servers", keys[len(keys)-1], value)
	}
	for _, key := range []string{"odd 1", "odd\n1", strings.Repeat("odd", 60) + "\x00"} {
		keys = append(keys, key)
		s.store.Put("servers", key, sound)
	}
	return keys
}

// mentions returns the number of lines that name the row.
func mentions(lines []observer.LoggedEntry, key string) int {
	n := 0
	for _, l := range lines {
		for _, f := range l.Context {
			if f.String == key {
				n++
			}
		}
	}
	return n
}

// TestOddRows guards against an entry that ends, stops following the list, or sends
// requests to what isn't a replica, since another writer has left odd rows. The rows
// are there before the entry starts, come later, or are read by a peer only.
func TestOddRows(t *testing.T) {
	for _, when := range []string{"first read", "later change", "read by a peer"} {
		t.Run(when, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			core, logs := observer.New(zap.InfoLevel)
			s := newSite(t)
			s.log = zap.New(core)
			var r *runningEntry
			var keys []string
			if when == "later change" {
				r = s.startReady()
				keys = s.putOddRows()
			} else {
				keys = s.putOddRows()
				r = s.startReady()
			}
			reads := func() int { return s.store.CallCount("/rows-get") }
			before := reads()
			s.until("the list was read again, in all its pages", func() bool { return reads() >= before+6 })
			if when == "read by a peer" {
				s.store.SetMode(extsim.Unavailable)
				r = s.start(r)
				s.until("the entry has its peer's state", r.ready)
			}
			for i := range 40 {
				for _, path := range []string{"/safe/a", "/once/a", "/verse/a"} {
					got := r.do(context.Background(), callerRequest{id: fmt.Sprint("odd", i, path), path: path})
					is.NoErr(got.err)
					is.Equal(got.status, 200)
				}
			}
			for _, key := range keys {
				// One line for the row, although it was read often, and none of a replica, or
				// of a send or dial that failed.
				is.Equal(mentions(logs.FilterMessage("watch: a row names no replica to use").All(), key), 1)
				is.Equal(mentions(logs.All(), key), 1)
			}
			for _, l := range logs.All() {
				size := len(l.Message)
				for _, f := range l.Context {
					size += len(fmt.Sprint(f.Key, f.String, f.Interface))
				}
				is.True(size < 2000)
			}
			if when == "read by a peer" {
				return
			}
			// The list is still followed.
			s.store.Put("servers", "d-0", s.services[0].Row("draining"))
			left := func() bool {
				return logs.FilterMessage("edge: replica changed").FilterField(zap.Bool("leaving", true)).Len() > 0
			}
			s.until("the entry knows that a replica leaves", left)
			ran := s.services[0].Counts().Runs
			for range 10 {
				is.Equal(r.status("/safe/a"), 200)
			}
			is.Equal(s.services[0].Counts().Runs, ran)
		})
	}
}

// TestOddRowOfKnownReplica guards against a replica that is still used after another
// writer has replaced its row by an odd one, and against others lost with it.
func TestOddRowOfKnownReplica(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	core, logs := observer.New(zap.InfoLevel)
	s.log = zap.New(core)
	r := s.startReady()
	is.Equal(r.status("/safe/a"), 200)
	s.store.PutRaw("servers", "d-0", `{"service":"desk"}`)
	gone := func() bool {
		return logs.FilterMessage("edge: a replica is gone").FilterField(zap.String("replica", "d-0")).Len() == 1
	}
	s.until("the replica is gone", gone)
	ran := s.services[0].Counts().Runs
	for range 20 {
		is.Equal(r.status("/safe/a"), 200)
		is.Equal(r.status("/verse/a"), 200)
	}
	is.Equal(s.services[0].Counts().Runs, ran)
	s.store.Put("servers", "d-0", s.services[0].Row("ready"))
	s.store.Put("servers", "d-1", s.services[1].Row("draining"))
	s.until("it is used again", func() bool { r.status("/safe/a"); return s.services[0].Counts().Runs > ran })
}
