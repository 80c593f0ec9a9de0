package load

import "syscall"

// usage reads the processor time of this process, which runs the entries, the
// stand-ins and the callers together.
type usage struct {
	start int64
}

func startUsage() usage {
	return usage{start: cpuMicros()}
}

func cpuMicros() int64 {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return (r.Utime.Sec+r.Stime.Sec)*1e6 + int64(r.Utime.Usec) + int64(r.Stime.Usec)
}

// perRequest returns the microseconds spent for each of n requests.
func (u usage) perRequest(n int) float64 {
	if n == 0 {
		return 0
	}
	return float64(cpuMicros()-u.start) / float64(n)
}
