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

// Minimum and maximum values of the settings.
const (
	minLinger           clock.Millis = 5 * clock.Second
	maxLinger           clock.Millis = 10 * clock.Minute
	minTransferTime     clock.Millis = 100
	maxTransferTime     clock.Millis = 10 * clock.Minute
	minBodyBytes                     = 1 << 10
	maxBodyBytes                     = 64 << 20
	minHeaderBytes                   = 4 << 10
	maxHeaderBytes                   = 1 << 20
	maxConcurrentBodies              = 100_000
	maxHeldBytes                     = 1 << 40
	// minConnections leaves room for a caller with a few connections.
	minConnections = 16
	maxConnections = 1 << 20
	// digestBytes is the size of a SHA-256 digest.
	digestBytes = 32
)

// namePattern matches the names of instances and data centres. A dot isn't
// allowed, since it separates the parts of a request ID, one of which is the
// name of the instance.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// The allowed values of settings; the empty one selects the default.
var (
	policies = []string{"", PolicyCost, PolicyLeast, PolicyRandom}
	grants   = []string{"", GrantLocal, GrantOwner}
	levels   = []string{"", "debug", "info", "warn", "error"}
)

// Check returns every fault of the settings as [strict.FieldErrors].
func (s *Settings) Check() error {
	return s.check(nil).Err()
}

// check returns the faults of the settings, except in fields where decoding has
// already found faults.
func (s *Settings) check(decoded strict.FieldErrors) strict.FieldErrors {
	if s.Fleet != nil {
		return s.checkFleet(decoded)
	}
	c := checker{decodeFaults: decoded}
	c.name("instance", s.Instance)
	c.name("centre", s.Centre)
	c.listener("callers", s.Callers, true)
	c.listener("operators", s.Operators, false)
	c.listener("peers", s.Peers, true)
	if s.Peers.TLS() && s.Peers.CA == "" {
		c.add("peers.ca", "missing; entries authenticate each other by certificate")
	}
	c.overlaps(s)
	c.seeds(s.Seeds)
	c.platform(s.Platform)
	c.tokens(s.Tokens)
	c.policy(s)
	c.oneOf("log", s.Log, levels)
	c.limits(s.Limits)
	c.optionalRange("linger", int64(s.Linger), int64(minLinger), int64(maxLinger), "ms")
	return c.faults
}

// checker collects the faults of the settings.
type checker struct {
	// decodeFaults are the faults found by decoding.
	decodeFaults strict.FieldErrors
	faults       strict.FieldErrors
}

// add adds a fault unless decoding has already found one in the field or in a
// field that contains it.
func (c *checker) add(field, format string, args ...any) {
	for _, f := range c.decodeFaults {
		if f.Field == "" || f.Field == field || strings.HasPrefix(field, f.Field+".") {
			return
		}
	}
	c.faults.Add(field, format, args...)
}

// name checks the name of an instance or data centre.
func (c *checker) name(field, value string) {
	switch {
	case value == "":
		c.add(field, "missing")
	case !namePattern.MatchString(value):
		c.add(field, "want up to 63 lower-case letters, digits and hyphens")
	}
}

// oneOf checks that value is one of allowed, whose first element is empty.
func (c *checker) oneOf(field, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		c.add(field, "want one of %s", strings.Join(allowed[1:], ", "))
	}
}

// optionalRange checks the range of a number; zero selects the default and is
// always valid.
func (c *checker) optionalRange(field string, n, low, high int64, unit string) {
	if n != 0 && (n < low || n > high) {
		c.add(field, "want %d to %d %s", low, high, unit)
	}
}

// limits checks the ranges of the limits.
func (c *checker) limits(l Limits) {
	c.optionalRange("limits.body", l.Body, minBodyBytes, maxBodyBytes, "bytes")
	c.optionalRange("limits.header", int64(l.Header), minHeaderBytes, maxHeaderBytes, "bytes")
	c.optionalRange("limits.input", int64(l.Input), int64(minTransferTime), int64(maxTransferTime), "ms")
	c.optionalRange("limits.output", int64(l.Output), int64(minTransferTime), int64(maxTransferTime), "ms")
	c.optionalRange("limits.inputs", int64(l.Inputs), 1, maxConcurrentBodies, "bodies")
	for _, f := range []struct {
		name string
		n    int
	}{
		{"connections", l.Connections}, {"lookups", l.Lookups}, {"probes", l.Probes}, {"operators", l.Operators}, {"peers", l.Peers},
	} {
		c.optionalRange("limits."+f.name, int64(f.n), minConnections, maxConnections, "connections")
	}
	c.optionalRange("limits.held", l.Held, minHeldBodies*l.WithDefaults().Body, maxHeldBytes, "bytes")
}

// listener checks one listener. The address of an advertised listener is passed
// to callers or peers, so it can't be the unspecified address.
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
		c.add(field+".listen", "want the instance's own IP address, since it is advertised to others")
	}
	c.tls(field, l, err == nil && addr.Addr().IsLoopback())
}

// tls checks that the TLS fields are consistent, and that an address other than
// loopback uses TLS unless Insecure is set.
func (c *checker) tls(field string, l Listener, loopback bool) {
	switch {
	case l.TLS() && l.Key == "":
		c.add(field+".key", "missing; cert is set")
	case !l.TLS() && l.Key != "":
		c.add(field+".cert", "missing; key is set")
	case !l.TLS() && l.CA != "":
		c.add(field+".ca", "set without cert and key")
	case l.TLS() && l.Insecure:
		c.add(field+".insecure", "set together with cert")
	case !l.TLS() && !loopback && !l.Insecure:
		c.add(field+".cert", "missing; an address other than loopback needs TLS or insecure")
	}
}

// seeds checks that each seed is an address that can be dialled.
func (c *checker) seeds(seeds []string) {
	for i, seed := range seeds {
		addr, err := netip.ParseAddrPort(seed)
		if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
			c.add(elementPath("seeds", i), "want an IP address and port")
		}
	}
}

// overlaps checks that no two listeners use the same address and port.
func (c *checker) overlaps(s *Settings) {
	all := []struct{ field, listen string }{
		{"callers", s.Callers.Listen}, {"operators", s.Operators.Listen}, {"peers", s.Peers.Listen},
	}
	for i := range all {
		for j := range i {
			if overlapping(all[i].listen, all[j].listen) {
				c.add(all[i].field+".listen", "overlaps %s.listen", all[j].field)
			}
		}
	}
}

// overlapping reports whether two listen addresses conflict. The unspecified
// address conflicts with every address on the same port.
func overlapping(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	if errX != nil || errY != nil || x.Port() != y.Port() {
		return false
	}
	return x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
}

// platform checks the URL of the platform, and that the token isn't sent
// unencrypted to an address other than loopback unless Insecure is set.
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
		c.add("platform.token", "needs https, a loopback address or platform.insecure")
	}
}

// tokens checks that there is at least one token digest and that all are valid
// and different.
func (c *checker) tokens(tokens []string) {
	if len(tokens) == 0 {
		c.add("tokens", "missing; want the SHA-256 digest of each operator's token")
	}
	for i, t := range tokens {
		digest, err := hex.DecodeString(t)
		if err != nil || len(digest) != digestBytes || strings.ToLower(t) != t {
			c.faults.Add(elementPath("tokens", i), "want a SHA-256 digest of 64 small hexadecimal digits")
		}
		if slices.Contains(tokens[:i], t) {
			c.faults.Add(elementPath("tokens", i), "given twice")
		}
	}
}

// elementPath returns the path of element i of a list field.
func elementPath(field string, i int) string {
	return field + "[" + strconv.Itoa(i) + "]"
}
