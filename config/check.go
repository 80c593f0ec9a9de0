package config

import (
	"encoding/hex"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/strict"
)

// Bounds of the settings.
const (
	minLinger clock.Millis = 5 * clock.Second
	maxLinger clock.Millis = 10 * clock.Minute
	minInput  clock.Millis = 100
	maxInput  clock.Millis = 10 * clock.Minute
	minBody                = 1 << 10
	maxBody                = 64 << 20
	minHeader              = 4 << 10
	maxHeader              = 1 << 20
	maxInputs              = 100_000
	// digestBytes is the size of a SHA-256 digest.
	digestBytes = 32
)

// namePattern is what instances and data centres are called. Request IDs contain the
// instance's name and use the dot as their separator.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

var (
	policies = []string{"", PolicyCost, PolicyLeast, PolicyRandom}
	grants   = []string{"", GrantAlone, GrantHome}
	levels   = []string{"", "debug", "info", "warn", "error"}
)

// Check returns every fault of the settings as [strict.Faults].
func (s *Settings) Check() error {
	return s.check(nil).Err()
}

// check returns the faults of those fields that decoding found none in.
func (s *Settings) check(decoded strict.Faults) strict.Faults {
	if s.Fleet != nil {
		return s.checkFleet(decoded)
	}
	c := checker{decoded: decoded}
	c.name("instance", s.Instance)
	c.name("centre", s.Centre)
	c.listener("callers", s.Callers, true)
	c.listener("operators", s.Operators, false)
	c.listener("peers", s.Peers, true)
	if s.Peers.TLS() && s.Peers.CA == "" {
		c.add("peers.ca", "missing; entries prove to each other who they are")
	}
	c.overlaps(s)
	c.seeds(s.Seeds)
	c.platform(s.Platform)
	c.tokens(s.Tokens)
	c.policy(s)
	c.oneOf("log", s.Log, levels)
	c.limits(s.Limits)
	c.within("linger", int64(s.Linger), int64(minLinger), int64(maxLinger), "ms")
	return c.faults
}

type checker struct {
	decoded strict.Faults
	faults  strict.Faults
}

// add adds a fault unless decoding has found one in the field or above it.
func (c *checker) add(field, format string, args ...any) {
	for _, f := range c.decoded {
		if f.Field == "" || f.Field == field || strings.HasPrefix(field, f.Field+".") {
			return
		}
	}
	c.faults.Add(field, format, args...)
}

func (c *checker) name(field, value string) {
	switch {
	case value == "":
		c.add(field, "missing")
	case !namePattern.MatchString(value):
		c.add(field, "want up to 63 small letters, digits and hyphens")
	}
}

func (c *checker) oneOf(field, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		c.add(field, "want one of %s", strings.Join(allowed[1:], ", "))
	}
}

// within checks a number whose zero stands for the default.
func (c *checker) within(field string, n, low, high int64, unit string) {
	if n != 0 && (n < low || n > high) {
		c.add(field, "want %d to %d %s", low, high, unit)
	}
}

func (c *checker) limits(l Limits) {
	c.within("limits.body", l.Body, minBody, maxBody, "bytes")
	c.within("limits.header", int64(l.Header), minHeader, maxHeader, "bytes")
	c.within("limits.input", int64(l.Input), int64(minInput), int64(maxInput), "ms")
	c.within("limits.output", int64(l.Output), int64(minInput), int64(maxInput), "ms")
	c.within("limits.inputs", int64(l.Inputs), 1, maxInputs, "bodies")
}

// listener checks one listener. An advertised one is given to others and
// can't be the unspecified address.
func (c *checker) listener(field string, l Listener, advertised bool) {
	if l.Listen == "" {
		c.add(field+".listen", "missing")
		return
	}
	addr, err := netip.ParseAddrPort(l.Listen)
	switch {
	case err != nil:
		c.add(field+".listen", "want an IP address and port")
	case addr.Port() == 0:
		c.add(field+".listen", "want a port above zero")
	case advertised && addr.Addr().IsUnspecified():
		c.add(field+".listen", "want the instance's own IP address, since others are told it")
	}
	c.tls(field, l, err == nil && addr.Addr().IsLoopback())
}

func (c *checker) tls(field string, l Listener, loopback bool) {
	switch {
	case l.TLS() && l.Key == "":
		c.add(field+".key", "missing; cert is set")
	case !l.TLS() && l.Key != "":
		c.add(field+".cert", "missing; key is set")
	case !l.TLS() && l.CA != "":
		c.add(field+".ca", "set without cert and key")
	case l.TLS() && l.Insecure:
		c.add(field+".insecure", "set beside cert")
	case !l.TLS() && !loopback && !l.Insecure:
		c.add(field+".cert", "missing; an address off loopback needs TLS or insecure")
	}
}

func (c *checker) seeds(seeds []string) {
	for i, seed := range seeds {
		addr, err := netip.ParseAddrPort(seed)
		if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
			c.add(index("seeds", i), "want an IP address and port")
		}
	}
}

// overlaps checks that no two listeners take the same port of one address.
func (c *checker) overlaps(s *Settings) {
	all := []struct{ field, listen string }{
		{"callers", s.Callers.Listen}, {"operators", s.Operators.Listen}, {"peers", s.Peers.Listen},
	}
	for i := range all {
		for j := range i {
			if overlap(all[i].listen, all[j].listen) {
				c.add(all[i].field+".listen", "overlaps %s.listen", all[j].field)
			}
		}
	}
}

func overlap(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	if errX != nil || errY != nil || x.Port() != y.Port() {
		return false
	}
	return x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
}

func (c *checker) platform(p Platform) {
	if p.Base == "" {
		c.add("platform.base", "missing")
		return
	}
	u, err := url.Parse(p.Base)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.RawQuery != "" || u.User != nil {
		c.add("platform.base", "want http://ADDRESS:PORT or https://ADDRESS:PORT")
		return
	}
	if strings.HasSuffix(p.Base, "/") {
		c.add("platform.base", "want no trailing slash")
	}
	ip, err := netip.ParseAddr(u.Hostname())
	switch {
	case err != nil:
		c.add("platform.base", "want an IP address for its host")
	case p.Token != "" && u.Scheme == "http" && !ip.IsLoopback() && !p.Insecure:
		c.add("platform.token", "needs https off loopback, or platform.insecure")
	}
}

func (c *checker) tokens(tokens []string) {
	if len(tokens) == 0 {
		c.add("tokens", "missing; want the SHA-256 digest of each operator's token")
	}
	for i, t := range tokens {
		digest, err := hex.DecodeString(t)
		if err != nil || len(digest) != digestBytes || strings.ToLower(t) != t {
			c.faults.Add(index("tokens", i), "want a SHA-256 digest of 64 small hexadecimal digits")
		}
		if slices.Contains(tokens[:i], t) {
			c.faults.Add(index("tokens", i), "given twice")
		}
	}
}

func index(field string, i int) string {
	return field + "[" + strconv.Itoa(i) + "]"
}
