package check

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// Bounds of a document.
const (
	maxProfiles   = 256
	maxWorkspaces = 4096
	maxUpstreams  = 8192
	maxRoutes     = 4096
	maxKeys       = 16
	maxModels     = 256
	maxNameBytes  = 128
	maxTime       = 60 * clock.Minute
	maxRetries    = 16
	maxWeight     = 1000
	digestBytes   = 32
)

// Document returns every fault of a document in one error with the code
// [codes.BadDocument]; each names the field it stands in.
func Document(doc *core.Document) error {
	c := &checker{}
	c.counts(doc)
	profiles := c.profiles(doc.Profiles)
	c.workspaces(doc.Workspaces, profiles)
	upstreams := c.upstreams(doc.Upstreams)
	c.routes(doc.Routes)
	c.desired(doc.Desired, upstreams)
	if len(c.faults) == 0 {
		return nil
	}
	return codes.New(codes.BadDocument, "%s", strings.Join(c.faults, "; ")).
		WithRun(codes.NotRun)
}

// checker gathers faults.
type checker struct {
	faults []string
}

func (c *checker) fault(field, format string, args ...any) {
	c.faults = append(c.faults, field+": "+fmt.Sprintf(format, args...))
}

func (c *checker) counts(doc *core.Document) {
	for _, n := range []struct {
		field      string
		count, max int
	}{
		{"profiles", len(doc.Profiles), maxProfiles},
		{"workspaces", len(doc.Workspaces), maxWorkspaces},
		{"upstreams", len(doc.Upstreams), maxUpstreams},
		{"routes", len(doc.Routes), maxRoutes},
		{"desired", len(doc.Desired), maxUpstreams},
	} {
		if n.count > n.max {
			c.fault(n.field, "over %d entries", n.max)
		}
	}
}

// name checks a name of one word.
func (c *checker) name(field, name string, seen map[string]bool) {
	if strings.ContainsAny(name, "/ \t\r\n") {
		c.fault(field, "%q has a slash or white space", name)
	}
	c.unique(field, name, seen)
}

// words checks a name of several words, such as "patient and exact". It
// travels in a header of HTTP.
func (c *checker) words(field, name string, seen map[string]bool) {
	strange := func(r rune) bool { return r < ' ' || r > '~' }
	if name != strings.Join(strings.Fields(name), " ") || strings.ContainsFunc(name, strange) {
		c.fault(field, "want plain words with one space between them")
	}
	c.unique(field, name, seen)
}

// unique checks the length of a name and that it wasn't seen before.
func (c *checker) unique(field, name string, seen map[string]bool) {
	switch {
	case name == "":
		c.fault(field, "missing")
	case len(name) > maxNameBytes:
		c.fault(field, "over %d bytes", maxNameBytes)
	case seen[name]:
		c.fault(field, "%q stands twice", name)
	}
	seen[name] = true
}

// number checks that n lies within bounds.
func number[N ~int | ~int64](c *checker, field string, n, least, most N) {
	if n < least || n > most {
		c.fault(field, "%d is not in %d to %d", n, least, most)
	}
}

func (c *checker) profiles(all []core.Profile) map[string]bool {
	seen := make(map[string]bool, len(all))
	for i, p := range all {
		at := fmt.Sprintf("profiles[%d]", i)
		c.words(at+".name", p.Name, seen)
		number(c, at+".first_token", p.FirstToken, 1, maxTime)
		number(c, at+".per_token", p.PerToken, 1, maxTime)
		number(c, at+".patience", p.Patience, 0, maxTime)
		number(c, at+".timeout", p.Timeout, 1, maxTime)
		number(c, at+".retries", p.Retries, 0, maxRetries)
		if p.Timeout > 0 && p.FirstToken > p.Timeout {
			c.fault(at+".first_token", "%d is later than the timeout %d", p.FirstToken, p.Timeout)
		}
	}
	return seen
}

func (c *checker) workspaces(all []core.Workspace, profiles map[string]bool) {
	seen := make(map[string]bool, len(all))
	digests := make(map[string]string)
	for i, w := range all {
		at := fmt.Sprintf("workspaces[%d]", i)
		c.name(at+".name", w.Name, seen)
		number(c, at+".weight", w.Weight, 0, maxWeight)
		number(c, at+".keys", len(w.Keys), 1, maxKeys)
		if !profiles[w.Profile] {
			c.fault(at+".profile", "no profile %q", w.Profile)
		}
		for j, digest := range w.Keys {
			c.digest(fmt.Sprintf("%s.keys[%d]", at, j), digest, w.Name, digests)
		}
	}
}

func (c *checker) digest(field, digest, owner string, seen map[string]string) {
	sum, err := hex.DecodeString(digest)
	if err != nil || len(sum) != digestBytes || strings.ToLower(digest) != digest {
		c.fault(field, "want a SHA-256 digest in lower-case hexadecimal")
		return
	}
	if other, ok := seen[digest]; ok {
		c.fault(field, "is also a key of workspace %q", other)
	}
	seen[digest] = owner
}

// upstreams returns the names of all upstreams.
func (c *checker) upstreams(all []core.Upstream) map[string]bool {
	names := make(map[string]bool, len(all))
	addrs := make(map[string]bool, len(all))
	for i, u := range all {
		at := fmt.Sprintf("upstreams[%d]", i)
		c.name(at+".name", u.Name, names)
		c.name(at+".centre", u.Centre, make(map[string]bool))
		c.address(at+".addr", u.Addr, addrs)
		c.role(at, u)
		number(c, at+".pieces", u.Pieces, 0, 1<<30)
		number(c, at+".rate", u.Rate, 0, 1<<50)
	}
	return names
}

func (c *checker) address(field, addr string, seen map[string]bool) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		c.fault(field, "%q: want an IP address and port", addr)
		return
	}
	if seen[addr] {
		c.fault(field, "%q stands twice", addr)
	}
	seen[addr] = true
}

func (c *checker) role(at string, u core.Upstream) {
	switch u.Role {
	case core.Prefill, core.Decode:
		if u.Service != "" {
			c.fault(at+".service", "is for role service")
		}
		number(c, at+".models", len(u.Models), 1, maxModels)
		seen := make(map[string]bool, len(u.Models))
		for j, m := range u.Models {
			c.model(fmt.Sprintf("%s.models[%d]", at, j), m, seen)
		}
	case core.Service:
		c.name(at+".service", u.Service, make(map[string]bool))
		if len(u.Models) > 0 {
			c.fault(at+".models", "is for engines")
		}
	default:
		c.fault(at+".role", "%q: want prefill, decode or service", u.Role)
	}
}

// model checks a model's name, which may hold slashes.
func (c *checker) model(field, name string, seen map[string]bool) {
	c.name(field, strings.ReplaceAll(name, "/", "."), seen)
}

func (c *checker) routes(all []core.Route) {
	seen := make(map[string]bool, len(all))
	for i, r := range all {
		at := fmt.Sprintf("routes[%d]", i)
		c.name(at+".service", r.Service, make(map[string]bool))
		if !strings.HasPrefix(r.Prefix, "/") || len(r.Prefix) > maxNameBytes {
			c.fault(at+".prefix", "%q: want a path with a leading slash", r.Prefix)
		}
		number(c, at+".timeout", r.Timeout, 1, maxTime)
		for j, m := range r.Methods {
			if m == "" || strings.ToUpper(m) != m {
				c.fault(fmt.Sprintf("%s.methods[%d]", at, j), "%q: want an HTTP method in capitals", m)
			}
		}
		key := fmt.Sprintf("%s %s %v", r.Service, r.Prefix, r.Methods)
		if seen[key] {
			c.fault(at, "stands twice")
		}
		seen[key] = true
	}
}

func (c *checker) desired(all []core.Desired, upstreams map[string]bool) {
	seen := make(map[string]bool, len(all))
	for i, d := range all {
		at := fmt.Sprintf("desired[%d]", i)
		c.name(at+".upstream", d.Upstream, seen)
		if d.Upstream != "" && !upstreams[d.Upstream] {
			c.fault(at+".upstream", "no upstream %q", d.Upstream)
		}
		switch d.Role {
		case "", core.Prefill, core.Decode:
		default:
			c.fault(at+".role", "%q: want prefill or decode", d.Role)
		}
		number(c, at+".models", len(d.Models), 0, maxModels)
		number(c, at+".adapters", len(d.Adapters), 0, maxModels)
	}
}

// Faults returns the single faults of an error of [Check].
func Faults(err error) []string {
	var e *codes.Error
	if !errors.As(err, &e) || e.Code != codes.BadDocument {
		return nil
	}
	return strings.Split(e.Message, "; ")
}
