package guard

import (
	"math"

	"golang.org/x/sys/unix"
)

// Conns are the numbers of connections of the listeners of a process. A zero field has its
// default.
type Conns struct {
	// Callers is that of requests, Directory that of callers who ask for addresses, Readiness
	// that of the platform's probes, Operators that of operators and of metrics, and Peers
	// that of other entries.
	Callers, Directory, Readiness, Operators, Peers int
}

// Bounds of the defaults of [Conns].
const (
	// bytesPerConn is the memory of a process for which it has one connection of a caller.
	// One that waits took 8 KiB; one whose request is in flight takes more, which wasn't
	// measured.
	bytesPerConn = 64 << 10
	// descriptorShare is the share of the descriptors that callers may use, as a divisor.
	// About a quarter is for upstreams and the store, and the rest for the other listeners.
	descriptorShare = 2
	// Shares of the callers' connections, as divisors, and the least that a listener has.
	directoryShare = 8
	probeShare     = 32
	minConns       = 16
	// maxPeers is above the number of entries that a deployment is designed for. Peers have
	// one connection each.
	maxPeers = 512
	// bytesPerPeer is the memory of a process for which it has one connection of a peer, and
	// peerShare the share of the descriptors that peers may use, as a divisor.
	bytesPerPeer = 128 << 10
	peerShare    = 4
)

// WithDefaults returns c with zero fields replaced by their defaults for a process with a
// memory limit in bytes.
func (c Conns) WithDefaults(memory int64) Conns {
	descriptors := int64(math.MaxInt32)
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil {
		descriptors = int64(min(limit.Cur, math.MaxInt32))
	}
	callers := int(min(memory/bytesPerConn, descriptors/descriptorShare))
	for _, f := range []struct {
		field *int
		n     int
	}{
		{&c.Callers, callers},
		{&c.Directory, callers / directoryShare},
		{&c.Readiness, callers / probeShare},
		{&c.Operators, callers / probeShare},
		{&c.Peers, int(min(maxPeers, memory/bytesPerPeer, descriptors/peerShare))},
	} {
		if *f.field == 0 {
			*f.field = max(f.n, minConns)
		}
	}
	return c
}
