package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/extsim"
)

// manifestChanges are changes of a manifest, as pairs of old and new text.
var manifestChanges = map[string][]string{
	"version":               nil,
	"short timeouts":        {`"timeout_ms":2000`, `"timeout_ms":40`, `"timeout_ms":14000`, `"timeout_ms":40`, `"timeout_ms":1000`, `"timeout_ms":40`},
	"long timeouts":         {`"timeout_ms":1000`, `"timeout_ms":9000`},
	"tight limits":          {`"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000`, `"max_header_bytes":1024,"max_body_bytes":16,"header_timeout_ms":1,"idle_timeout_ms":1`},
	"routes removed":        {`"prefix":"/once/"`, `"prefix":"/former/"`, `"prefix":"/verse/"`, `"prefix":"/former/"`},
	"no routes":             {`"host":"h.example"`, `"host":"other.example"`},
	"another service":       {`"service":"desk"`, `"service":"nobody"`},
	"no engines":            {`"name":"verse","health_path"`, `"name":"nobody","health_path"`},
	"no holds":              {`"hold_ms":2000.0`, `"hold_ms":0`, `"kv_tokens":39418`, `"kv_tokens":5000`},
	"streams not resumable": {`"resumable":true`, `"resumable":false`},
	"calls not repeatable":  {`"route_kind":"idempotent"`, `"route_kind":"non_idempotent"`},
}

// sendings are the ways in which callers send a request with this head and body.
var sendings = map[string]func(w io.Writer, head, body string) error{
	"at_once": func(w io.Writer, head, body string) error {
		_, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		return err
	},
	"in_parts": func(w io.Writer, head, body string) error {
		text := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		for len(text) > 0 {
			n := 1 + rand.IntN(len(text))
			if _, err := io.WriteString(w, text[:n]); err != nil {
				return err
			}
			text = text[n:]
			time.Sleep(rand.N(4 * time.Millisecond))
		}
		return nil
	},
	"chunked": func(w io.Writer, head, body string) error {
		_, err := fmt.Fprintf(w, "%sTransfer-Encoding: chunked\r\n\r\n%s", head, extsim.Chunk(body))
		if err == nil {
			time.Sleep(rand.N(4 * time.Millisecond))
			_, err = io.WriteString(w, extsim.Chunk(""))
		}
		return err
	},
}

// TestRequestsBesideManifestChanges guards against a whole request on a kept connection that
// gets neither an answer nor a rejection because the manifest changes meanwhile.
func TestRequestsBesideManifestChanges(t *testing.T) {
	const span = 2 * time.Second
	for name, change := range manifestChanges {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			for _, d := range s.decode {
				d.EventCount, d.EventInterval = 6, 3*time.Millisecond
			}
			s.retries.Slack = 1 << 20
			r := s.startReady()
			var answered, served atomic.Int64
			var callers sync.WaitGroup
			end := time.Now().Add(span)
			call := func(conn io.ReadWriter, read *bufio.Reader, sending, path, id string) (open bool) {
				head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nLacewinghook-Request-Id: %s\r\nLacewinghook-Deadline-Ms: 4000\r\n"+
					"Lacewinghook-Model: m\r\nLacewinghook-Token-Counts: 3000,2720\r\nLacewinghook-Prefix-Hash: 5c1e07a2:200,91bd3f06:2800\r\n", path, id)
				err := sendings[sending](conn, head, strings.Repeat("x", 1+rand.IntN(64)))
				is.True(err == nil || name == "short timeouts") // it ends before a slow body
				resp, err := http.ReadResponse(read, &http.Request{Method: http.MethodPost})
				is.NoErr(err) // each whole request gets a response
				defer resp.Body.Close()
				_, err = io.ReadAll(resp.Body)
				is.True(err == nil || name == "short timeouts") // a stream may end at its deadline
				is.Equal(resp.Header.Get("Lacewinghook-Request-Id"), id)
				runs := s.runs(id)
				is.True(runs == 0 || resp.StatusCode != http.StatusServiceUnavailable)
				is.True(runs <= 1 || path == "/safe/a" || path == "/long/a")
				answered.Add(1)
				if resp.StatusCode == http.StatusOK {
					served.Add(1)
				}
				return err == nil && !resp.Close
			}
			for sending := range sendings {
				for _, path := range []string{"/once/a", "/safe/a", "/verse/a", "/long/a"} {
					callers.Go(func() {
						conn := r.dial(t)
						read := bufio.NewReader(conn)
						for i := 0; time.Now().Before(end); i++ {
							if !call(conn, read, sending, path, fmt.Sprint(sending, strings.ReplaceAll(path, "/", "-"), "-", i)) {
								conn = r.dial(t)
								read = bufio.NewReader(conn)
							}
							time.Sleep(rand.N(6 * time.Millisecond))
						}
					})
				}
			}
			version := 2
			for ; time.Now().Before(end); version++ {
				text := fmt.Sprintf(manifestText, version, 1000, "")
				if version%2 == 0 && change != nil {
					text = strings.NewReplacer(change...).Replace(text)
				}
				s.store.Put("op", "config", text)
				time.Sleep(rand.N(12 * time.Millisecond))
			}
			callers.Wait()
			is.True(served.Load() > 0)
			t.Logf("%d requests, %d served, %d manifests", answered.Load(), served.Load(), version)
		})
	}
}

// TestSilenceBesideManifestChange guards against a request that gets neither an answer nor a
// rejection because a sound replica is silent to new connections, or in the middle of the
// answer of a call, while the manifest changes.
func TestSilenceBesideManifestChange(t *testing.T) {
	const silence = 1200 * time.Millisecond
	for name, c := range map[string]struct {
		paths   []string
		prepare func(t *testing.T, s *site)
		// refused is set if the request may be rejected.
		refused bool
	}{
		"connect, services": {[]string{"/once/", "/safe/"}, func(t *testing.T, s *site) { silenceConnects(t, s.services) }, true},
		"connect, prefill":  {[]string{"/verse/", "/long/"}, func(t *testing.T, s *site) { silenceConnects(t, s.prefill) }, true},
		"connect, decode":   {[]string{"/verse/", "/long/"}, func(t *testing.T, s *site) { silenceConnects(t, s.decode) }, true},
		"short body":        {[]string{"/once/", "/safe/"}, func(_ *testing.T, s *site) { silentBodies(s, 100) }, false},
		"long body":         {[]string{"/once/", "/safe/"}, func(_ *testing.T, s *site) { silentBodies(s, 300_000) }, false},
	} {
		for _, path := range c.paths {
			for _, retries := range []float64{0, 58} {
				t.Run(fmt.Sprint(name, path, retries), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					s := newSite(t)
					s.retries.Slack, s.retries.Ratio = retries, 0
					s.publish(2, 9000, "")
					r := s.startReady()
					for _, list := range [][]*extsim.Replica{s.services, s.prefill, s.decode} {
						for _, d := range list {
							d.Silence = silence
						}
					}
					c.prepare(t, s)
					time.AfterFunc(silence/4, func() { s.publish(3, 8000, "") })
					got := r.do(context.Background(), callerRequest{id: "id-1", path: path + "a", header: map[string]string{"Lacewinghook-Deadline-Ms": "9000"}})
					is.NoErr(got.err)
					if c.refused && got.status == http.StatusServiceUnavailable {
						is.Equal(s.runs("id-1"), 0)
						return
					}
					is.Equal(got.status, http.StatusOK)
					is.True(s.runs("id-1") == 1 || path == "/safe/")
				})
			}
		}
	}
}

// silenceConnects makes replicas silent to new connections, and closes the kept ones.
func silenceConnects(t *testing.T, list []*extsim.Replica) {
	for _, d := range list {
		d.CloseConnections()
		d.SilenceConnects(t)
	}
}

// silentBodies makes the services silent in the middle of their next answer, whose body has
// the given size.
func silentBodies(s *site, size int) {
	for _, d := range s.services {
		d.Body = strings.Repeat("y", size)
	}
	injectFault(s.services, extsim.SilentBody, 1)
}

// TestHeadersAsLargeAsTheManifestAllows guards against requests that are denied for their
// headers although the manifest in force allows them.
func TestHeadersAsLargeAsTheManifestAllows(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t)
	r := s.startReady()
	send := func(id string, headerBytes int) int {
		got := r.do(context.Background(), callerRequest{id: id, path: "/once/a", header: map[string]string{"Note": strings.Repeat("x", headerBytes)}})
		is.NoErr(got.err)
		return got.status
	}
	limit := func(version, headerBytes int) {
		s.store.Put("op", "config", strings.ReplaceAll(fmt.Sprintf(manifestText, version, 1000, fmt.Sprintf(
			`,{"name":"v","host":"h.example","prefix":"/v%d/","route_kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2}`, version)),
			`"max_header_bytes":16384`, fmt.Sprintf(`"max_header_bytes":%d`, headerBytes)))
		s.until("the manifest is in force", func() bool {
			return r.do(context.Background(), callerRequest{id: "v", path: fmt.Sprintf("/v%d/a", version)}).status == http.StatusOK
		})
	}
	limit(2, 64<<10)
	is.Equal(send("id-3", 48<<10), http.StatusOK)
	is.Equal(send("id-4", 80<<10), http.StatusRequestEntityTooLarge)
	limit(3, 16<<10)
	is.Equal(send("id-1", 20<<10), http.StatusOK) // the settings allow more
	is.Equal(send("id-5", 48<<10), http.StatusRequestEntityTooLarge)
	is.Equal(s.runs("id-4")+s.runs("id-5"), 0)
}
