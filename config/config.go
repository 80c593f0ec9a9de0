package config

import (
	"io"
	"os"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/strict"
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
	// Tokens are the SHA-256 digests of the operators' tokens, in
	// hexadecimal. Without one no operator gets in.
	Tokens []string `json:"tokens"`
	// ResumeKey is the file of the secret that signs the resume tokens. The
	// secret is the same at all entries, and best drawn at random with 32
	// bytes or more; without it no answer can be resumed.
	ResumeKey string `json:"resume_key,omitempty"`
	// Policy names the way of choosing upstreams: cost, least or random. Empty
	// is cost.
	Policy string `json:"policy,omitempty"`
	// PolicyOptions turns parts of the policy on and off.
	PolicyOptions PolicyOptions `json:"policy_options,omitzero"`
	// Limits bound what callers send.
	Limits Limits `json:"limits,omitzero"`
	// Linger is how long an entry that stops goes on taking new work, since
	// callers may still hold its address; zero is 3 seconds over the life of
	// an answer of addresses.
	Linger clock.Millis `json:"linger,omitempty"`
	// Fleet is set for an entry on a platform with a list of replicas.
	Fleet *Fleet `json:"fleet,omitempty"`
	// Log is the lowest level that is logged: debug, info, warn or error.
	// Empty is info.
	Log string `json:"log,omitempty"`
}

// Listener is one address that the entry listens on.
type Listener struct {
	// Listen is an IP address and port.
	Listen string `json:"listen"`
	// Cert and Key are files of the certificate and its key, in PEM. They
	// are read again when they change.
	Cert string `json:"cert,omitempty"`
	Key  string `json:"key,omitempty"`
	// CA is the file of the authorities that the other side's certificate
	// must come from. Peers need it; for callers and operators it is
	// optional.
	CA string `json:"ca,omitempty"`
	// Insecure allows an address off loopback without TLS.
	Insecure bool `json:"insecure,omitempty"`
}

// TLS reports whether the listener speaks TLS.
func (l *Listener) TLS() bool { return l.Cert != "" }

// Platform is where the platform answers.
type Platform struct {
	// Base is the platform's URL, without a trailing slash.
	Base string `json:"base"`
	// Token is the file of the bearer token that the platform asks for.
	Token string `json:"token,omitempty"`
	// Insecure allows the token to be sent without TLS off loopback.
	Insecure bool `json:"insecure,omitempty"`
}

// Limits bound what callers send. A zero field takes its default.
type Limits struct {
	// Body is the greatest body of a call, in bytes; zero is 4 MiB.
	Body int64 `json:"body,omitempty"`
	// Header is the greatest size of all headers of a call, in bytes; zero
	// is 32 KiB.
	Header int `json:"header,omitempty"`
	// Input is the time within which a call must have arrived in full; zero
	// is 10 seconds.
	Input clock.Millis `json:"input,omitempty"`
	// Inputs is the number of bodies that are read at the same time; zero is
	// 256.
	Inputs int `json:"inputs,omitempty"`
	// Output is how long a caller may take nothing of a streamed answer
	// before it counts as gone; zero is 10 seconds.
	Output clock.Millis `json:"output,omitempty"`
}

// The defaults of [Limits].
const (
	defaultBody                = 4 << 20
	defaultHeader              = 32 << 10
	defaultInput  clock.Millis = 10 * clock.Second
	defaultInputs              = 256
	defaultOutput clock.Millis = 10 * clock.Second
)

// Filled returns the limits with the defaults in place of zeros.
func (l Limits) Filled() Limits {
	if l.Body == 0 {
		l.Body = defaultBody
	}
	if l.Header == 0 {
		l.Header = defaultHeader
	}
	if l.Input == 0 {
		l.Input = defaultInput
	}
	if l.Inputs == 0 {
		l.Inputs = defaultInputs
	}
	if l.Output == 0 {
		l.Output = defaultOutput
	}
	return l
}

// maxBytes bounds a settings file.
const maxBytes = 1 << 20

// Read reads and checks a settings file. Its error is a [codes.Error] whose
// cause is [strict.Faults] if the file could be read.
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

func readFile(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, codes.Wrap(codes.BadRequest, err, "settings")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxBytes+1))
	if err != nil {
		return nil, codes.Wrap(codes.BadRequest, err, "settings")
	}
	if len(data) > maxBytes {
		return nil, codes.New(codes.TooLarge, "settings: %s is over %d bytes", name, maxBytes)
	}
	return data, nil
}

// Decode decodes and checks settings. Its error is [strict.Faults].
func Decode(data []byte) (*Settings, error) {
	s := &Settings{}
	faults := strict.Decode(data, s)
	faults = append(faults, s.check(faults)...)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return s, nil
}
