package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// resolve asks an entry for the addresses of entries, as callers do. It returns none if the
// answer has none, or doesn't come within a second.
func resolve(e *entry) []string {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + e.settings.Fleet.Directory + "/resolve?name=" + host + "&region=sask-south&zone=moose-jaw")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var out struct {
		Addresses []string `json:"addresses"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&out) != nil {
		return nil
	}
	return out.Addresses
}

// playStop restarts the entries in turn by SIGTERM. The callers of the first one keep its
// address for three times its ttl, and for longer while they get no new list. They then
// send requests on their open channels that ask for longer answers than those before.
func playStop(b *bed) (bool, error) {
	const (
		// callers use the first entry, a half of which send at each of the times below.
		callers     = 12
		before      = 2
		shortTokens = 32
		longTokens  = 170
		rollGap     = 1300 * time.Millisecond
		// keepFor is how long some callers keep a list: three times its ttl_s of 1.
		keepFor = 3 * time.Second
		// askPause is the pause between two tries to get a new one.
		askPause = 50 * time.Millisecond
		// The requests are sent so long after the SIGTERM. Those of the first 3 s are
		// excused if the stop cuts them.
		firstHalf  = 3100 * time.Millisecond
		secondHalf = 5200 * time.Millisecond
	)
	for i := range 12 {
		phase := "decode"
		if i < 4 {
			phase = "prefill"
		}
		if _, err := b.addReplica("writers", phase, &replica{silences: 2}); err != nil {
			return false, err
		}
	}
	b.publish(route("/verse/", "streaming", "writers", 1))
	if err := b.startEntries(3); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	e := b.entries[0]
	type result struct {
		id   string
		sent time.Time
		got  streamed
	}
	var mu sync.Mutex
	var results []result
	var failed error
	var wait, ready, listed sync.WaitGroup
	fail := func(err error) {
		mu.Lock()
		defer mu.Unlock()
		failed = err
	}
	ready.Add(callers)
	listed.Add(callers)
	resolveNow := make(chan struct{})
	start := make(chan time.Time)
	for i := range callers {
		wait.Go(func() {
			c, err := openChannel(e)
			if err != nil {
				fail(err)
				ready.Done()
				listed.Done()
				<-start
				return
			}
			defer c.conn.Close()
			for n := range before {
				q := completion(soundPart, fmt.Sprintf("b%03x%03x", n, i))
				q.header["Lacewinghook-Token-Counts"] = fmt.Sprintf("3200,%d", shortTokens)
				got := c.stream(fmt.Sprintf("%016x", 0x1c00+n*callers+i), "", q, func(int) {})
				b.log("caller %d: status %d, %d events, complete %v, %v", i, got.status, len(got.ids), got.complete, got.err)
			}
			ready.Done()
			<-resolveNow
			resolved := time.Now()
			list := resolve(e)
			listed.Done()
			at := <-start
			time.Sleep(time.Until(resolved.Add(keepFor)))
			b.log("caller %d: its list is %d ms old", i, time.Since(resolved).Milliseconds())
			sendAt := at.Add(firstHalf)
			if i%2 == 1 {
				sendAt = at.Add(secondHalf)
			}
			// It asks for a new list until it sends.
			for {
				for _, other := range b.entries {
					if l := resolve(other); len(l) > 0 {
						list = l
						break
					}
				}
				if time.Now().Add(askPause).After(sendAt) {
					break
				}
				time.Sleep(askPause)
			}
			uses := slices.Contains(list, e.settings.Callers.Listen)
			b.log("caller %d: uses the channel to %s further: %v", i, e.name, uses)
			if !uses {
				return
			}
			time.Sleep(time.Until(sendAt))
			q := completion(soundPart, fmt.Sprintf("d%07x", i))
			q.header["Lacewinghook-Token-Counts"] = fmt.Sprintf("3200,%d", longTokens)
			r := result{id: fmt.Sprintf("%016x", 0x1d00+i), sent: time.Now()}
			r.got = c.stream(r.id, "", q, func(int) {})
			mu.Lock()
			results = append(results, r)
			mu.Unlock()
		})
	}
	ready.Wait()
	close(resolveNow)
	listed.Wait()
	at := time.Now()
	if b.trouble {
		for i, e := range b.entries {
			wait.Go(func() {
				time.Sleep(time.Until(at.Add(time.Duration(i) * rollGap)))
				if err := b.restart(e); err != nil {
					fail(err)
				}
			})
		}
	}
	for range callers {
		start <- at
	}
	wait.Wait()
	if failed != nil {
		return false, failed
	}
	arrived := make(map[string]bool)
	for _, a := range b.arrivals() {
		if !a.prefill {
			arrived[a.id] = true
		}
	}
	cut := 0
	for _, r := range results {
		b.log("%s sent %.3f s after the SIGTERM: status %d, %d events, complete %v, %v, passed on %v", r.id, r.sent.Sub(at).Seconds(), r.got.status, len(r.got.ids), r.got.complete, r.got.err, arrived[r.id])
		if r.got.status != 0 && !r.got.complete && arrived[r.id] {
			cut++
		}
	}
	b.log("%s: %d requests were passed on to a replica and cut, none may be", e.name, cut)
	return cut > 0, nil
}
