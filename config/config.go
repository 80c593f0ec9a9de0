package config

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/codes"
)

// Settings are those of one entry.
type Settings struct {
	// Instance and Centre are the names of the instance and its data centre.
	Instance string `json:"instance"`
	Centre   string `json:"centre"`
	// Callers, Operators and Peers are the listeners.
	Callers   Listener `json:"callers"`
	Operators Listener `json:"operators"`
	Peers     Listener `json:"peers"`
	// Seeds are addresses of other entries' listeners for peers, used while
	// the platform's list can't be read.
	Seeds []string `json:"seeds,omitempty"`
	// Platform is where the platform answers.
	Platform Platform `json:"platform"`
	// Policy names the way of choosing upstreams: least or random.
	Policy string `json:"policy,omitempty"`
	// Tokens are the SHA-256 digests of the operators' tokens.
	Tokens []string `json:"tokens,omitempty"`
}

// Listener is one address that the entry listens on.
type Listener struct {
	Listen string `json:"listen"`
}

// Platform is where the platform answers.
type Platform struct {
	Base string `json:"base"`
}

// maxBytes bounds a settings file.
const maxBytes = 1 << 20

// Read reads and checks a settings file.
func Read(name string) (*Settings, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, codes.Wrap(codes.BadRequest, err, "settings")
	}
	if len(data) > maxBytes {
		return nil, codes.New(codes.TooLarge, "settings: %s is over %d bytes", name, maxBytes)
	}
	s := &Settings{}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		return nil, codes.Wrap(codes.BadRequest, err, "settings %s", name)
	}
	return s, s.Check()
}

// Check returns every fault of the settings, joined.
func (s *Settings) Check() error {
	var faults []error
	need := func(field, value string) {
		if value == "" {
			faults = append(faults, errors.Errorf("%s: missing", field))
		}
	}
	need("instance", s.Instance)
	need("centre", s.Centre)
	need("platform.base", s.Platform.Base)
	for _, l := range []struct{ field, addr string }{
		{"callers.listen", s.Callers.Listen},
		{"operators.listen", s.Operators.Listen},
		{"peers.listen", s.Peers.Listen},
	} {
		if _, err := netip.ParseAddrPort(l.addr); err != nil {
			faults = append(faults, errors.Errorf("%s: want an IP address and port", l.field))
		}
	}
	return errors.Join(faults...)
}
