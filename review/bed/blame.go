package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playBlame sends batches of one caller, in which some requests have a part that crashes
// replicas and the others don't. All share the caller's part.
func playBlame(b *bed) (bool, error) {
	const (
		// Each batch has so many sound and deadly requests.
		soundOnes   = 4
		deadlyOnes  = 6
		calmBatches = 6
		batches     = 12
		batchPause  = 4 * time.Second
		minRequests = 20
	)
	var mu sync.Mutex
	for i := range 3 {
		phase := "decode"
		if i < 1 {
			phase = "prefill"
		}
		like := &replica{comesBack: true, crashes: hasDeadlyPart}
		if _, err := b.addReplica("writers", phase, like); err != nil {
			return false, err
		}
	}
	b.publish(route("/verse/", "streaming", "writers", 1))
	if err := b.startEntries(3); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	type result struct {
		at   time.Time
		good bool
	}
	var sound []result
	var wait sync.WaitGroup
	send := func(part string, n, i int) {
		wait.Go(func() {
			at := time.Now()
			e := b.entries[(n+i)%len(b.entries)]
			a := b.send(newCaller(), e, completion(part, fmt.Sprintf("%04x%02x%s", n, i, part[len(part)-6:len(part)-4])))
			b.log("batch %d: part %s at %s: status %d, served %v, after %d ms", n, part, e.name, a.status, a.served(), a.took.Milliseconds())
			mu.Lock()
			defer mu.Unlock()
			if part == soundPart {
				// A request begins at the first attempt if a replica's success begins.
				sound = append(sound, result{at, a.signed && a.status == http.StatusOK})
			}
		})
	}
	n := 0
	for ; n < calmBatches; n++ {
		for i := range soundOnes {
			send(soundPart, n, i)
		}
		time.Sleep(time.Second)
	}
	wait.Wait()
	begun := time.Now()
	for ; n < calmBatches+batches; n++ {
		for i := range max(soundOnes, deadlyOnes) {
			if b.trouble && i < deadlyOnes {
				send(deadlyPart, n, i)
			}
			if i < soundOnes {
				send(soundPart, n, i+1)
			}
		}
		time.Sleep(batchPause)
	}
	wait.Wait()
	crashed := b.crashTimes()
	b.log("crashes of replicas: %d", len(crashed))
	from := begun
	if len(crashed) > 0 {
		from = crashed[min(4, len(crashed)-1)].Add(2 * stableWindow)
	}
	var before, after, begunBefore, begunAfter int
	for _, r := range sound {
		switch {
		case r.at.Before(begun):
			before++
			if r.good {
				begunBefore++
			}
		case r.at.After(from):
			after++
			if r.good {
				begunAfter++
			}
		}
	}
	b.log("sound requests: begun %d of %d before, %d of %d from 6 s after the fifth crash on", begunBefore, before, begunAfter, after)
	return before >= minRequests && after >= minRequests && float64(begunAfter)/float64(after) < float64(begunBefore)/float64(before)/2, nil
}
