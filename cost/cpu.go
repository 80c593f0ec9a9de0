package cost

import "syscall"

// CPU returns the CPU time used by this process, in microseconds, or 0 if it is
// unavailable. In a trial, it includes entries, fakes and callers, since all of
// them run in one process.
func CPU() int64 {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return (r.Utime.Sec+r.Stime.Sec)*1e6 + int64(r.Utime.Usec) + int64(r.Stime.Usec)
}
