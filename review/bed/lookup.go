package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playLookup polls one path of a route that was added later while two replicas crash, some
// seconds apart, and then compares how often it is served with how often the first route is.
func playLookup(b *bed) (bool, error) {
	const (
		added = "/status/"
		// perRoute is the pause between two requests on one route, as on the users' sheet.
		perRoute = 120 * time.Millisecond
	)
	var reps []*replica
	// One of them is a share of 0.17.
	running := make([]chan struct{}, 6)
	for i := range running {
		running[i] = make(chan struct{}, 1)
		r, err := b.addReplica("desk", "", &replica{comesBack: true, work: func(hr *http.Request) time.Duration {
			if strings.HasPrefix(hr.URL.Path, added) {
				select {
				case running[i] <- struct{}{}:
				default:
				}
			}
			return deskTime
		}})
		if err != nil {
			return false, err
		}
		reps = append(reps, r)
	}
	first := route("/lookup/", "idempotent", "desk", 2)
	b.publish(first)
	if err := b.startEntries(3); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	b.publish(first, route(added, "idempotent", "desk", 2))
	time.Sleep(stableWindow)
	type count struct{ sent, served int }
	var mu sync.Mutex
	steady := false
	counts := make(map[string]*count)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	poll := func(n int, kind, path string) {
		wait.Go(func() {
			a := b.send(newCaller(), b.entries[n%len(b.entries)], ask{method: http.MethodGet, path: path, deadline: 4 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			if !steady {
				return
			}
			c := counts[kind]
			if c == nil {
				c = &count{}
				counts[kind] = c
			}
			c.sent++
			if a.served() {
				c.served++
			}
			if c.sent <= 5 {
				b.log("%s: status %d, served %v", path, a.status, a.served())
			}
		})
	}
	wait.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(perRoute):
			}
			poll(n, "added", added+"board")
			poll(n, "first", fmt.Sprintf("/lookup/%d", n))
		}
	})
	for i, r := range reps[:2] {
		time.Sleep(time.Duration(2+4*i) * time.Second)
		if b.trouble {
			// It crashes while it runs a request of the added route.
			select {
			case <-running[i]:
			default:
			}
			<-running[i]
			time.Sleep(deskTime / 3)
			r.crashAndReturn()
		}
	}
	time.Sleep(4*time.Second + 2*stableWindow)
	mu.Lock()
	steady = true
	mu.Unlock()
	b.log("steady state begins")
	time.Sleep(10 * time.Second)
	close(stop)
	wait.Wait()
	later, firsts := counts["added"], counts["first"]
	b.log("added route: served %d of %d; first route: served %d of %d", later.served, later.sent, firsts.served, firsts.sent)
	return later.sent >= 20 && float64(later.served)/float64(later.sent) < float64(firsts.served)/float64(firsts.sent)/4, nil
}
