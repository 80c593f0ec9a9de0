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

// Bounds of a document. Sizes are counts unless the name has a unit.
const (
	maxProfiles   = 256
	maxWorkspaces = 4096
	maxUpstreams  = 8192
	maxRoutes     = 4096
	maxKeys       = 16
	maxModels     = 256
	maxNameBytes  = 128
	maxDuration   = 60 * clock.Minute
	maxRetries    = 16
	maxWeight     = 1000
	digestBytes   = 32
)

// Document returns all faults of a document, each with its field, in one error
// with the code [codes.BadDocument].
func Document(doc *core.Document) error {
	c := &checker{}
	c.listLengths(doc)
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

// checker collects faults.
type checker struct {
	faults []string
}

// fault adds a fault of a field.
func (c *checker) fault(field, format string, args ...any) {
	c.faults = append(c.faults, field+": "+fmt.Sprintf(format, args...))
}

// listLengths checks the lengths of the lists of the document.
func (c *checker) listLengths(doc *core.Document) {
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

// name checks a unique name without spaces.
func (c *checker) name(field, name string, seen map[string]bool) {
	if strings.ContainsAny(name, "/ \t\r\n") {
		c.fault(field, "%q contains a slash or white space", name)
	}
	c.unique(field, name, seen)
}

// multiWordName checks a unique name that may have several words, such as
// "patient and exact". It must be valid in an HTTP header.
func (c *checker) multiWordName(field, name string, seen map[string]bool) {
	unprintable := func(r rune) bool { return r < ' ' || r > '~' }
	if name != strings.Join(strings.Fields(name), " ") || strings.ContainsFunc(name, unprintable) {
		c.fault(field, "want printable ASCII words separated by single spaces")
	}
	c.unique(field, name, seen)
}

// unique checks the length of a name and that it isn't in seen, and adds it.
func (c *checker) unique(field, name string, seen map[string]bool) {
	switch {
	case name == "":
		c.fault(field, "missing")
	case len(name) > maxNameBytes:
		c.fault(field, "over %d bytes", maxNameBytes)
	case seen[name]:
		c.fault(field, "%q is used twice", name)
	}
	seen[name] = true
}

// checkRange checks that n is between low and high.
func checkRange[N ~int | ~int64](c *checker, field string, n, low, high N) {
	if n < low || n > high {
		c.fault(field, "%d is not in %d to %d", n, low, high)
	}
}

// profiles checks the profiles and returns their names.
func (c *checker) profiles(all []core.Profile) map[string]bool {
	seen := make(map[string]bool, len(all))
	for i, p := range all {
		path := fmt.Sprintf("profiles[%d]", i)
		c.multiWordName(path+".name", p.Name, seen)
		checkRange(c, path+".first_token", p.FirstToken, 1, maxDuration)
		checkRange(c, path+".per_token", p.PerToken, 1, maxDuration)
		checkRange(c, path+".patience", p.Patience, 0, maxDuration)
		checkRange(c, path+".timeout", p.Timeout, 1, maxDuration)
		checkRange(c, path+".retries", p.Retries, 0, maxRetries)
		if p.Timeout > 0 && p.FirstToken > p.Timeout {
			c.fault(path+".first_token", "%d is later than the timeout %d", p.FirstToken, p.Timeout)
		}
	}
	return seen
}

// workspaces checks the workspaces, and that their profiles exist.
func (c *checker) workspaces(all []core.Workspace, profiles map[string]bool) {
	seen := make(map[string]bool, len(all))
	digests := make(map[string]string)
	for i, w := range all {
		path := fmt.Sprintf("workspaces[%d]", i)
		c.name(path+".name", w.Name, seen)
		checkRange(c, path+".weight", w.Weight, 0, maxWeight)
		checkRange(c, path+".keys", len(w.Keys), 1, maxKeys)
		if !profiles[w.Profile] {
			c.fault(path+".profile", "no profile %q", w.Profile)
		}
		for j, digest := range w.Keys {
			c.digest(fmt.Sprintf("%s.keys[%d]", path, j), digest, w.Name, digests)
		}
	}
}

// digest checks the digest of a key, which only one workspace may use. seen
// maps digests to their workspaces.
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

// upstreams checks the upstreams and returns their names.
func (c *checker) upstreams(all []core.Upstream) map[string]bool {
	names := make(map[string]bool, len(all))
	addrs := make(map[string]bool, len(all))
	for i, u := range all {
		path := fmt.Sprintf("upstreams[%d]", i)
		c.name(path+".name", u.Name, names)
		c.name(path+".centre", u.Centre, make(map[string]bool))
		c.address(path+".addr", u.Addr, addrs)
		c.role(path, u)
		checkRange(c, path+".pieces", u.Pieces, 0, 1<<30)
		checkRange(c, path+".rate", u.Rate, 0, 1<<50)
	}
	return names
}

// address checks that addr is an IP address and port and isn't in seen.
func (c *checker) address(field, addr string, seen map[string]bool) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		c.fault(field, "%q: want an IP address and port", addr)
		return
	}
	if seen[addr] {
		c.fault(field, "%q is used twice", addr)
	}
	seen[addr] = true
}

// role checks the role of an upstream and the fields that depend on it.
func (c *checker) role(path string, u core.Upstream) {
	switch u.Role {
	case core.Prefill, core.Decode:
		if u.Service != "" {
			c.fault(path+".service", "only valid for role service")
		}
		checkRange(c, path+".models", len(u.Models), 1, maxModels)
		seen := make(map[string]bool, len(u.Models))
		for j, m := range u.Models {
			c.model(fmt.Sprintf("%s.models[%d]", path, j), m, seen)
		}
	case core.Service:
		c.name(path+".service", u.Service, make(map[string]bool))
		if len(u.Models) > 0 {
			c.fault(path+".models", "only valid for engines")
		}
	default:
		c.fault(path+".role", "%q: want prefill, decode or service", u.Role)
	}
}

// model checks the name of a model, which may contain slashes.
func (c *checker) model(field, name string, seen map[string]bool) {
	c.name(field, strings.ReplaceAll(name, "/", "."), seen)
}

// routes checks the routes of plain services.
func (c *checker) routes(all []core.Route) {
	seen := make(map[string]bool, len(all))
	for i, r := range all {
		path := fmt.Sprintf("routes[%d]", i)
		c.name(path+".service", r.Service, make(map[string]bool))
		if !strings.HasPrefix(r.Prefix, "/") || len(r.Prefix) > maxNameBytes {
			c.fault(path+".prefix", "%q: want a path with a leading slash", r.Prefix)
		}
		checkRange(c, path+".timeout", r.Timeout, 1, maxDuration)
		for j, m := range r.Methods {
			if m == "" || strings.ToUpper(m) != m {
				c.fault(fmt.Sprintf("%s.methods[%d]", path, j), "%q: want an HTTP method in capitals", m)
			}
		}
		key := fmt.Sprintf("%s %s %v", r.Service, r.Prefix, r.Methods)
		if seen[key] {
			c.fault(path, "duplicate route")
		}
		seen[key] = true
	}
}

// desired checks the desired states, and that their upstreams exist.
func (c *checker) desired(all []core.Desired, upstreams map[string]bool) {
	seen := make(map[string]bool, len(all))
	for i, d := range all {
		path := fmt.Sprintf("desired[%d]", i)
		c.name(path+".upstream", d.Upstream, seen)
		if d.Upstream != "" && !upstreams[d.Upstream] {
			c.fault(path+".upstream", "no upstream %q", d.Upstream)
		}
		switch d.Role {
		case "", core.Prefill, core.Decode:
		default:
			c.fault(path+".role", "%q: want prefill or decode", d.Role)
		}
		checkRange(c, path+".models", len(d.Models), 0, maxModels)
		checkRange(c, path+".adapters", len(d.Adapters), 0, maxModels)
	}
}

// Faults splits an error of [Document] into its faults. It returns nil for any
// other error.
func Faults(err error) []string {
	var e *codes.Error
	if !errors.As(err, &e) || e.Code != codes.BadDocument {
		return nil
	}
	return strings.Split(e.Message, "; ")
}
