// Package procs runs stand-ins and entries as separate processes on loopback,
// for tests of failures that are a process's own: a kill, a freeze, a signal.
// Only tests import it; no program of the system starts a process.
//
// # Usage
//
//	err := procs.Build(ctx, dir)
//	p, err := procs.Start(ctx, dir, 3, nil)
//	defer p.Stop()
//	p.Entries[0].Signal(syscall.SIGSTOP)
package procs
