package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The parts of prompts: the caller's, which all requests share, and that which crashes
// replicas, in place of that of the sound requests.
const (
	sharedPart = "5c1e07a2:200"
	deadlyPart = "91bd3f06:400"
	soundPart  = "91bd3f07:400"
)

// completion returns a request for a stream whose prompt has the part.
func completion(part, last string) ask {
	return ask{method: http.MethodPost, path: "/verse/" + last, body: []byte("draft " + last), deadline: 14 * time.Second, header: map[string]string{
		"Lacewinghook-Model": "m", "Lacewinghook-Token-Counts": "3200,70",
		"Lacewinghook-Prefix-Hash": strings.Join([]string{sharedPart, part, last + ":2600"}, ","),
	}}
}

// hasDeadlyPart reports whether the prompt of a request has the part that crashes replicas.
func hasDeadlyPart(hr *http.Request, _ []byte) bool {
	return strings.Contains(hr.Header.Get("Lacewinghook-Prefix-Hash"), deadlyPart)
}

// Parameters of playParts.
const (
	// burstSize requests arrive together, with a pause of burstPause.
	burstSize  = 6
	bursts     = 5
	burstPause = 5 * time.Second
	// maxLate is how many deadly requests may reach replicas later than the stable window
	// after the fifth crash.
	maxLate = 3
)

// playParts sends bursts of requests with one part that crashes each replica that begins
// to write an answer on it, among sound requests. The replicas are back after 2 s.
func playParts(b *bed) (bool, error) {
	var mu sync.Mutex
	for i := range 12 {
		phase := "decode"
		if i < 4 {
			phase = "prefill"
		}
		if _, err := b.addReplica("writers", phase, &replica{comesBack: true, crashes: hasDeadlyPart}); err != nil {
			return false, err
		}
	}
	b.publish(route("/verse/", "streaming", "writers", 1))
	if err := b.startEntries(3); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var sound, soundServed int
	wait.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(250 * time.Millisecond):
			}
			wait.Go(func() {
				a := b.send(newCaller(), b.entries[n%len(b.entries)], completion(soundPart, fmt.Sprintf("a%07x", n)))
				mu.Lock()
				defer mu.Unlock()
				sound++
				if a.served() {
					soundServed++
				}
			})
		}
	})
	deadly := make(map[string]bool)
	for burst := range bursts {
		part := deadlyPart
		if !b.trouble {
			part = soundPart
		}
		b.log("burst %d: %d requests with the part %s", burst+1, burstSize, part)
		for i := range burstSize {
			wait.Go(func() {
				a := b.send(newCaller(), b.entries[i%len(b.entries)], completion(part, fmt.Sprintf("d%03x%03x", burst, i)))
				mu.Lock()
				deadly[a.id] = true
				mu.Unlock()
				b.log("burst %d: %s to %s: status %d, complete %v, served %v, after %d ms", burst+1, a.id, b.entries[i%len(b.entries)].name, a.status, a.complete, a.served(), a.took.Milliseconds())
			})
		}
		time.Sleep(burstPause)
	}
	close(stop)
	wait.Wait()
	b.log("sound requests: %d, served %d", sound, soundServed)
	crashedAt := b.crashTimes()
	b.log("crashes of replicas: %d", len(crashedAt))
	if len(crashedAt) < 5 {
		return false, nil
	}
	from := crashedAt[4].Add(stableWindow)
	late := make(map[string]bool)
	for _, a := range b.arrivals() {
		if deadly[a.id] && a.at.After(from) {
			b.log("late: %s reached %s, prefill %v, at %.3f", a.id, a.replica, a.prefill, a.at.Sub(b.start).Seconds())
			late[a.id] = true
		}
	}
	b.log("fifth crash at %.3f; %d requests with the part reached replicas later than 3 s after it, %d may", crashedAt[4].Sub(b.start).Seconds(), len(late), maxLate)
	return len(late) > maxLate, nil
}
