package config

import (
	"io"
	"os"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/strict"
)

// Settings configures one entry.
type Settings struct {
	// Instance and Centre are the names of the instance and its data centre.
	Instance string `json:"instance"`
	Centre   string `json:"centre"`
	// Callers, Operators and Peers are the listeners.
	Callers   Listener `json:"callers"`
	Operators Listener `json:"operators"`
	Peers     Listener `json:"peers"`
	// Seeds are the peer addresses of other entries, used while the platform's
	// list of instances is unavailable.
	Seeds []string `json:"seeds,omitempty"`
	// Platform configures access to the platform's API.
	Platform Platform `json:"platform"`
	// Tokens are the SHA-256 digests of the operators' tokens, in hexadecimal.
	// At least one is required, since operators authenticate with a token.
	Tokens []string `json:"tokens"`
	// ResumeKey is the file of the secret that signs resume tokens. All
	// entries must have the same secret; it should be 32 or more random
	// bytes. Without it, answers can't be resumed.
	ResumeKey string `json:"resume_key,omitempty"`
	// Policy is the policy for selecting upstreams: cost, least or random.
	// Empty means cost.
	Policy string `json:"policy,omitempty"`
	// PolicyOptions turns parts of the policy on and off.
	PolicyOptions PolicyOptions `json:"policy_options,omitzero"`
	// Limits restricts what callers may send.
	Limits Limits `json:"limits,omitzero"`
	// Linger is how long a stopping entry still accepts new work, since
	// callers may have cached its address; zero means the cache time of
	// addresses plus 3 seconds.
	Linger clock.Millis `json:"linger,omitempty"`
	// Fleet is set for an entry on a platform that provides a list of replicas
	// and a manifest.
	Fleet *Fleet `json:"fleet,omitempty"`
	// Log is the minimum level of log messages: debug, info, warn or error.
	// Empty means info.
	Log string `json:"log,omitempty"`
}

// Listener configures a listen address and its TLS.
type Listener struct {
	// Listen is an IP address and port.
	Listen string `json:"listen"`
	// Cert and Key are the PEM files of the certificate and its private key.
	// They are reloaded when they change.
	Cert string `json:"cert,omitempty"`
	Key  string `json:"key,omitempty"`
	// CA is the file of the certificate authorities that client certificates
	// are verified against. It is required for Peers with TLS and optional for
	// Callers and Operators.
	CA string `json:"ca,omitempty"`
	// Insecure allows an address other than loopback without TLS.
	Insecure bool `json:"insecure,omitempty"`
}

// TLS reports whether the listener uses TLS.
func (l *Listener) TLS() bool { return l.Cert != "" }

// Platform configures access to the platform's API.
type Platform struct {
	// Base is the platform's URL, without a trailing slash.
	Base string `json:"base"`
	// Token is the file of the bearer token for the platform.
	Token string `json:"token,omitempty"`
	// Insecure allows sending the token without TLS to an address other than
	// loopback.
	Insecure bool `json:"insecure,omitempty"`
}

// Limits restricts what callers may send. A zero field has its default.
type Limits struct {
	// Body is the maximum size of a request body, in bytes; zero means 4 MiB.
	Body int64 `json:"body,omitempty"`
	// Header is the maximum total size of the headers of a request, in bytes;
	// zero means 32 KiB.
	Header int `json:"header,omitempty"`
	// Input is the time limit for receiving a whole request; zero means 10
	// seconds.
	Input clock.Millis `json:"input,omitempty"`
	// Inputs is the number of bodies that are read concurrently; zero means
	// 256.
	Inputs int `json:"inputs,omitempty"`
	// Held is the sum of the request bodies that are held, each twice, in bytes; zero
	// means 64 MiB, or four times Body if that is more.
	Held int64 `json:"held,omitempty"`
	// Output is how long a caller may stop reading a streamed answer before it
	// is considered disconnected; zero means 10 seconds.
	Output clock.Millis `json:"output,omitempty"`
	// Connections is the number of callers' connections; zero means one for each 64 KiB of
	// the memory limit (without one, of twice Held), and at most one for each two
	// descriptors of the process.
	Connections int `json:"connections,omitempty"`
	// Lookups is the number of connections at which callers ask for addresses; zero means an
	// eighth of the default of Connections.
	Lookups int `json:"lookups,omitempty"`
	// Probes is the number of connections for readiness probes, and Operators that for
	// operators and metrics; zero means a 32nd of the default of Connections.
	Probes    int `json:"probes,omitempty"`
	Operators int `json:"operators,omitempty"`
	// Peers is the number of connections of other entries, which have one each; zero means
	// 512, but at most one for each 128 KiB of the memory limit (without one, of twice Held)
	// and for each four descriptors of the process.
	Peers int `json:"peers,omitempty"`
}

// Defaults of [Limits].
const (
	defaultBodyBytes                     = 4 << 20
	defaultHeaderBytes                   = 32 << 10
	defaultInputTimeout     clock.Millis = 10 * clock.Second
	defaultConcurrentBodies              = 256
	defaultHeldBytes                     = 64 << 20
	// minHeldBodies is the number of largest bodies that Held must hold: one is held
	// twice, and leaves as much room.
	minHeldBodies                     = 4
	defaultOutputTimeout clock.Millis = 10 * clock.Second
)

// WithDefaults returns l with zero fields replaced by their defaults.
func (l Limits) WithDefaults() Limits {
	if l.Body == 0 {
		l.Body = defaultBodyBytes
	}
	if l.Header == 0 {
		l.Header = defaultHeaderBytes
	}
	if l.Input == 0 {
		l.Input = defaultInputTimeout
	}
	if l.Inputs == 0 {
		l.Inputs = defaultConcurrentBodies
	}
	if l.Held == 0 {
		l.Held = max(defaultHeldBytes, minHeldBodies*l.Body)
	}
	if l.Output == 0 {
		l.Output = defaultOutputTimeout
	}
	return l
}

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// Read reads and checks a settings file. Its error is a [codes.Error]. If the
// file could be read but is invalid, the cause is [strict.FieldErrors].
func Read(name string) (*Settings, error) {
	data, err := readFile(name)
	if err != nil {
		return nil, err
	}
	s, err := Decode(data)
	if err != nil {
		return nil, codes.Wrap(codes.BadRequest, err, "settings %s", name)
	}
	return s, nil
}

// readFile reads a file of at most [maxFileBytes].
func readFile(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, codes.Wrap(codes.BadRequest, err, "settings")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, codes.Wrap(codes.BadRequest, err, "settings")
	}
	if len(data) > maxFileBytes {
		return nil, codes.New(codes.TooLarge, "settings: %s is over %d bytes", name, maxFileBytes)
	}
	return data, nil
}

// Decode decodes and checks settings. Its error is [strict.FieldErrors].
func Decode(data []byte) (*Settings, error) {
	s := &Settings{}
	faults := strict.Decode(data, s)
	faults = append(faults, s.check(faults)...)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return s, nil
}
