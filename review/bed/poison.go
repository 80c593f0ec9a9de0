package main

import (
	"bytes"
	"net/http"
	"sync"
	"time"
)

// playPoison sends one request that crashes each replica that begins to run it, again and
// again at the entries in turn, while the entries are restarted in turn several times.
func playPoison(b *bed) (bool, error) {
	const (
		rolls     = 3
		firstRoll = 15 * time.Second
		rollPause = 28 * time.Second
		rollGap   = 1300 * time.Millisecond
	)
	body := []byte("order 17, the one that no replica survives")
	var mu sync.Mutex
	for range 3 {
		like := &replica{comesBack: true}
		like.crashes = func(_ *http.Request, got []byte) bool {
			return b.trouble && bytes.Equal(got, body)
		}
		if _, err := b.addReplica("desk", "", like); err != nil {
			return false, err
		}
	}
	b.publish(route("/order/", "non_idempotent", "desk", 1))
	if err := b.startEntries(3); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	poison := make(map[string]bool)
	touch := make(map[string]bool)
	wait.Go(func() {
		for n := 0; ; n++ {
			// Twice, 5 s apart, before the first roll and once it has been over for a while.
			at := firstRoll - 9*time.Second + time.Duration(n/2)*rollPause + time.Duration(n%2)*5*time.Second
			select {
			case <-stop:
				return
			case <-time.After(time.Until(b.start.Add(at))):
			}
			e := b.entries[n%len(b.entries)]
			was := e.inTouch()
			a := b.send(newCaller(), e, ask{method: http.MethodPost, path: "/order/17", body: body, deadline: 4 * time.Second})
			mu.Lock()
			poison[a.id], touch[a.id] = true, was
			mu.Unlock()
			b.log("%s to %s, in touch %v: status %d, served %v, %v", a.id, e.name, was, a.status, a.served(), a.err)
		}
	})
	var failed error
	for n := range rolls {
		b.sleepUntil(firstRoll + time.Duration(n)*rollPause)
		b.log("roll %d", n+1)
		var roll sync.WaitGroup
		for i, e := range b.entries {
			roll.Go(func() {
				time.Sleep(time.Duration(i) * rollGap)
				if err := b.restart(e); err != nil {
					mu.Lock()
					failed = err
					mu.Unlock()
				}
			})
		}
		roll.Wait()
	}
	b.sleepUntil(firstRoll + rolls*rollPause - time.Second)
	close(stop)
	wait.Wait()
	if failed != nil {
		return false, failed
	}
	crashed := b.crashTimes()
	b.log("crashes of replicas: %d", len(crashed))
	if len(crashed) < 3 {
		return false, nil
	}
	from := crashed[2].Add(stableWindow)
	late := 0
	for _, a := range b.arrivals() {
		if poison[a.id] && touch[a.id] && a.at.After(from) {
			late++
			b.log("late: %s reached %s at %.3f", a.id, a.replica, a.at.Sub(b.start).Seconds())
		}
	}
	b.log("third crash at %.3f; the request reached replicas %d times later than 3 s after it, 3 are allowed", crashed[2].Sub(b.start).Seconds(), late)
	return late > 3, nil
}
