package config

import (
	"net/netip"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/strict"
)

// Fleet configures an entry on a platform that provides a list of replicas and
// a manifest. Such an entry uses only the fields Instance, Centre, Callers,
// Peers, Seeds, Limits and Log of the other settings.
type Fleet struct {
	// Store is the address of the platform's metadata store.
	Store string `json:"store"`
	// Directory is the listen address at which callers fetch the addresses of
	// entries, and Readiness that of the platform's readiness probe.
	Directory string `json:"directory"`
	Readiness string `json:"readiness"`
	// Metrics is the listen address of the metrics; empty disables them.
	Metrics string `json:"metrics,omitempty"`
	// Memory is the memory limit of the process, in MiB, and Cores the number
	// of threads that run in parallel; zero keeps the Go runtime's default.
	Memory int `json:"memory,omitempty"`
	Cores  int `json:"cores,omitempty"`
	// Share is the CPU share of the machine, in cores. Among many entries those with
	// larger shares own more; zero means that it is not known.
	Share float64 `json:"share,omitempty"`
	// Grace is the time between the stop signal and the kill.
	Grace Seconds `json:"grace_s"`
	// Keep is how long callers may cache the addresses of entries.
	Keep clock.Millis `json:"keep"`
	// Drain is how long after the store has accepted that a replica leaves a request
	// may still be sent there; zero means the shortest time that is known.
	Drain clock.Millis `json:"drain,omitempty"`
	// Silence is how long a sound replica may be silent while it works on a request;
	// zero means 2 s. The request isn't given up there for a shorter silence.
	Silence clock.Millis `json:"silence,omitempty"`
	// Distance is the price of sending a plain call to another zone: the round trip, and
	// what the traffic costs, as a time. Zero means the default of package zones.
	Distance clock.Millis `json:"distance,omitempty"`
	// Retries is the retry budget of all entries together.
	Retries Retries `json:"retries"`
	// Quota is what workspaces may use beyond their limits, over all entries together.
	Quota Quota `json:"quota,omitzero"`
	// Fresh means that the whole system starts for the first time, so that no
	// previous run of an entry can have requests in flight.
	Fresh bool `json:"fresh,omitempty"`
}

// Seconds is a duration in seconds, possibly fractional, as used by the
// platform.
type Seconds float64

// Millis returns the duration in milliseconds.
func (s Seconds) Millis() clock.Millis { return clock.Millis(float64(s) * float64(clock.Second)) }

// Retries is the retry budget of each service, across all entries.
type Retries struct {
	// Within a sliding window of the length Span, Ratio extra sends per
	// request and Slack further extra sends are allowed. Extra sends are
	// retries and hedges.
	Ratio float64 `json:"ratio"`
	Slack float64 `json:"slack"`
	Span  Seconds `json:"span_s"`
}

// Quota is the tolerance of the limits of workspaces. In any window of the length Span, the
// requests of a workspace may cost (rate * Span + burst) * (1 + Overshoot) + Slack; Slack
// applies to limits that count tokens. The zero value means 8 s, 0.1 and no slack.
type Quota struct {
	Span      Seconds `json:"span_s"`
	Overshoot float64 `json:"overshoot"`
	Slack     float64 `json:"slack"`
}

// Minimum and maximum values of the fleet settings.
const (
	minGrace     = 2 * clock.Second
	maxGrace     = 10 * clock.Minute
	minKeep      = clock.Millis(100)
	maxKeep      = 1 * clock.Minute
	minSpan      = clock.Millis(100)
	maxSpan      = 10 * clock.Minute
	minQuotaSpan = 1 * clock.Second
	maxQuotaSpan = 1 * clock.Minute
	minOvershoot = 0.01
	maxOvershoot = 1.0
	minDrain     = clock.Millis(100)
	maxDrain     = 1 * clock.Minute
	minSilence   = clock.Millis(100)
	maxSilence   = 1 * clock.Minute
	minDistance  = clock.Millis(1)
	maxDistance  = 10 * clock.Second
	maxMemoryMiB = 1 << 20
	maxCores     = 1024
)

// checkFleet returns the faults of the settings that an entry with Fleet uses,
// except in fields where decoding has already found faults.
func (s *Settings) checkFleet(decoded strict.FieldErrors) strict.FieldErrors {
	c := checker{decodeFaults: decoded}
	f := s.Fleet
	c.name("instance", s.Instance)
	c.name("centre", s.Centre)
	for _, l := range []struct {
		field, listen string
		needed        bool
	}{
		{"callers.listen", s.Callers.Listen, true},
		{"peers.listen", s.Peers.Listen, true},
		{"fleet.store", f.Store, true},
		{"fleet.directory", f.Directory, true},
		{"fleet.readiness", f.Readiness, true},
		{"fleet.metrics", f.Metrics, false},
	} {
		c.address(l.field, l.listen, l.needed)
	}
	c.seeds(s.Seeds)
	c.oneOf("log", s.Log, levels)
	c.limits(s.Limits)
	c.requiredRange("fleet.grace_s", int64(f.Grace.Millis()), int64(minGrace), int64(maxGrace), "ms")
	c.requiredRange("fleet.keep", int64(f.Keep), int64(minKeep), int64(maxKeep), "ms")
	c.requiredRange("fleet.retries.span_s", int64(f.Retries.Span.Millis()), int64(minSpan), int64(maxSpan), "ms")
	c.optionalRange("fleet.drain", int64(f.Drain), int64(minDrain), int64(maxDrain), "ms")
	c.optionalRange("fleet.silence", int64(f.Silence), int64(minSilence), int64(maxSilence), "ms")
	c.optionalRange("fleet.distance", int64(f.Distance), int64(minDistance), int64(maxDistance), "ms")
	c.optionalRange("fleet.memory", int64(f.Memory), 1, maxMemoryMiB, "MiB")
	c.optionalRange("fleet.cores", int64(f.Cores), 1, maxCores, "cores")
	if f.Share < 0 || f.Share > maxCores {
		c.add("fleet.share", "want 0 to %d cores", maxCores)
	}
	if f.Retries.Ratio < 0 || f.Retries.Slack < 0 {
		c.add("fleet.retries", "want numbers of zero and above")
	}
	if f.Quota != (Quota{}) {
		c.requiredRange("fleet.quota.span_s", int64(f.Quota.Span.Millis()), int64(minQuotaSpan), int64(maxQuotaSpan), "ms")
		// Leases live for a part of the overshoot and need some milliseconds.
		if f.Quota.Overshoot < minOvershoot || f.Quota.Overshoot > maxOvershoot {
			c.add("fleet.quota.overshoot", "want %g to %g", minOvershoot, maxOvershoot)
		}
		if f.Quota.Slack < 0 {
			c.add("fleet.quota.slack", "want zero or above")
		}
	}
	return c.faults
}

// address checks an IP address and port. It may be empty unless needed is set.
func (c *checker) address(field, value string, needed bool) {
	if value == "" {
		if needed {
			c.add(field, "missing")
		}
		return
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil || addr.Port() == 0 {
		c.add(field, "want an IP address and port")
	}
}

// requiredRange checks the range of a number that has no default.
func (c *checker) requiredRange(field string, n, low, high int64, unit string) {
	if n < low || n > high {
		c.add(field, "want %d to %d %s", low, high, unit)
	}
}
