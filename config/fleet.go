package config

import (
	"net/netip"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/strict"
)

// Fleet is set for an entry that stands on a platform with a list of replicas
// and a manifest. Of the other settings only the names, callers, peers, seeds,
// limits and log hold then.
type Fleet struct {
	// Store is the address of the platform's metadata store.
	Store string `json:"store"`
	// Directory is where callers ask for addresses, and Readiness where the
	// platform asks whether the entry takes new work.
	Directory string `json:"directory"`
	Readiness string `json:"readiness"`
	// Metrics is where counters are served; empty serves none.
	Metrics string `json:"metrics,omitempty"`
	// Memory is what the process may use, in MiB, and Cores how many threads
	// run at the same time; zero leaves the runtime's own choice.
	Memory int `json:"memory,omitempty"`
	Cores  int `json:"cores,omitempty"`
	// Grace is the time from a stop signal to the kill.
	Grace Seconds `json:"grace_s"`
	// Keep is how long callers may keep an answer of addresses.
	Keep clock.Millis `json:"keep"`
	// Retries bound the extra sends of all entries together.
	Retries Retries `json:"retries"`
	// Fresh says that the whole system starts for the first time: no entry
	// that ended a moment ago has sent anything.
	Fresh bool `json:"fresh,omitempty"`
}

// Seconds is a time as the platform gives it, which may be a fraction.
type Seconds float64

// Millis returns the time in milliseconds.
func (s Seconds) Millis() clock.Millis { return clock.Millis(float64(s) * float64(clock.Second)) }

// Retries bound the extra sends to one service over all entries.
type Retries struct {
	// Ratio is the extra sends for each request, and Slack those that are
	// allowed beside, within a window of the length Span.
	Ratio float64 `json:"ratio"`
	Slack float64 `json:"slack"`
	Span  Seconds `json:"span_s"`
}

// Bounds of the settings of a fleet.
const (
	minGrace  = 2 * clock.Second
	maxGrace  = 10 * clock.Minute
	minKeep   = clock.Millis(100)
	maxKeep   = 1 * clock.Minute
	minSpan   = clock.Millis(100)
	maxSpan   = 10 * clock.Minute
	maxMemory = 1 << 20
	maxCores  = 1024
)

func (s *Settings) checkFleet(decoded strict.Faults) strict.Faults {
	c := checker{decoded: decoded}
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
	c.needed("fleet.grace_s", int64(f.Grace.Millis()), int64(minGrace), int64(maxGrace), "ms")
	c.needed("fleet.keep", int64(f.Keep), int64(minKeep), int64(maxKeep), "ms")
	c.needed("fleet.retries.span_s", int64(f.Retries.Span.Millis()), int64(minSpan), int64(maxSpan), "ms")
	c.within("fleet.memory", int64(f.Memory), 1, maxMemory, "MiB")
	c.within("fleet.cores", int64(f.Cores), 1, maxCores, "cores")
	if f.Retries.Ratio < 0 || f.Retries.Slack < 0 {
		c.add("fleet.retries", "want numbers of zero and above")
	}
	return c.faults
}

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

func (c *checker) needed(field string, n, low, high int64, unit string) {
	if n < low || n > high {
		c.add(field, "want %d to %d %s", low, high, unit)
	}
}
