package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"lacewinghook.example/lacewinghook/extsim"
)

// The callers that nobody controls: their connections, and the size of the heads that they
// send.
const (
	strangers    = 16
	strangeBytes = 900_000
	strangePart  = 30_000
	strangeTime  = 4 * time.Second
	soundCallers = 36
	soundTime    = 8 * time.Second
)

// longHeads sends heads over the limit, of many short lines, to the address at which one
// entry tells clients where to connect. Sound callers use the same entry meanwhile. The
// platform ends a process whose memory exceeds that of its machine.
//
// LOST: an entry passes a request from a kept channel on to a sound replica and closes the
// channel without an answer three times at most. A process that ends by itself counts as
// running.
func longHeads(ctx context.Context, g *rig, trouble bool) (bool, error) {
	for range prefills {
		g.addReplica(engine("prefill"))
	}
	for range decodes {
		g.addReplica(engine("decode"))
	}
	for range desks {
		g.addReplica(deskReplica())
	}
	g.publish()
	if err := g.launch(ctx, entries); err != nil {
		return false, err
	}
	target := g.entries[0]
	load, end := context.WithTimeout(ctx, soundTime)
	defer end()
	g.wait.Go(func() { g.limitMemory(load, target) })
	var mu sync.Mutex
	unanswered := make(map[string]bool)
	var wg sync.WaitGroup
	answered := 0
	for i := range soundCallers {
		wg.Go(func() {
			conn, err := extsim.Dial(load, target.settings.Callers.Listen)
			if err != nil {
				return
			}
			defer conn.Close()
			for n := 0; load.Err() == nil; n++ {
				c := extsim.Call{ID: fmt.Sprintf("%08x%08x", 0xd0000000+i, n), Host: host, Path: orders + "x", Body: "order", Deadline: 4 * time.Second}
				if i%2 == 0 {
					c.Path, c.Generates = once+"x", true
				}
				a := conn.Ask(load, c)
				mu.Lock()
				if a.Complete {
					answered++
				} else if load.Err() == nil && n > 0 && a.Status == 0 {
					unanswered[c.ID] = true
					g.note("request %s on a kept channel: status %d, then %v", c.ID, a.Status, a.Err)
				}
				mu.Unlock()
				if !a.Complete || a.Closes {
					return
				}
			}
		})
	}
	sleep(load, 2*time.Second)
	size := strangeBytes
	if !trouble {
		size = 300
	}
	for range strangers {
		wg.Go(func() { sendHead(load, target.settings.Fleet.Directory, size) })
	}
	wg.Wait()
	passed := 0
	for _, r := range g.all() {
		for _, run := range r.sim.Runs() {
			if unanswered[run.ID] {
				g.note("%s had reached replica %s at %.3f", run.ID, r.sim.ID, run.Begun.Sub(g.start).Seconds())
				passed++
			}
		}
	}
	g.note("%d requests were answered; of %d without any answer %d had been passed on to a sound replica, %d are allowed", answered, len(unanswered), passed, mostLost)
	return passed > mostLost, nil
}

// mostLost is how many requests may be lost that were passed on.
const mostLost = 3

// sendHead sends the head of a request for addresses, of short lines and of about the given
// size, and leaves it open until it is cut or strangeTime has passed. A short head is ended.
func sendHead(ctx context.Context, addr string, size int) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(strangeTime))
	var b bytes.Buffer
	b.WriteString("GET /resolve?name=" + host + "&zone=moose-jaw HTTP/1.1\r\nHost: " + host + "\r\n")
	for i := 0; b.Len() < size; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	if size < strangePart {
		b.WriteString("\r\n")
	}
	for b.Len() > 0 {
		if _, err := conn.Write(b.Next(strangePart)); err != nil {
			return
		}
		sleep(ctx, 10*time.Millisecond)
	}
	// The end of the wait, of the connection or of an answer are all the same here.
	_, _ = conn.Read(make([]byte, 1))
}

// limitMemory ends the process of an entry once it exceeds the memory of its machine, as
// the platform does.
func (g *rig) limitMemory(ctx context.Context, e *entry) {
	most := int64(0)
	defer func() { g.note("%s used %d MiB at most, its machine has %d MiB", e.name, most>>20, memoryMiB) }()
	for ctx.Err() == nil {
		used := residentBytes(e.proc.PID())
		most = max(most, used)
		if used > memoryMiB<<20 {
			g.note("%s uses %d MiB: the platform ends it", e.name, used>>20)
			// An error means that it has exited.
			_ = e.proc.Signal(syscall.SIGKILL)
			return
		}
		sleep(ctx, 5*time.Millisecond)
	}
}

// residentBytes returns the memory of a process, zero if it has ended.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(data)
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
