// Package osproc runs a cluster of entries, a simulated platform, engines and a
// service as separate processes on loopback, for tests of failures that affect a
// whole process: SIGKILL, SIGSTOP and other signals. Only tests and the fault soak
// import it; no program of the system starts a process.
//
// # Usage
//
//	err := osproc.Build(ctx, dir)
//	c, err := osproc.Start(ctx, dir, 3, nil)
//	defer c.Stop()
//	c.Entries[0].Signal(syscall.SIGSTOP)
package osproc
