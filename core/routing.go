package core

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lacewinghook.example/lacewinghook/clock"
)

// HostRoute maps a host and a path prefix to services and defines how matching
// requests are handled.
type HostRoute struct {
	Name string
	Host string
	// Prefix begins and ends with a slash; the longest matching prefix of a
	// host wins.
	Prefix string
	// Repeatable means that a request may run more than once.
	Repeatable bool
	// Stream means that the answer is a stream of events, and Resumable that
	// another upstream can continue it after the last received event.
	Stream    bool
	Resumable bool
	// Generates means that the requests are completions, which have a prompt.
	Generates bool
	// Public means that callers need no API key.
	Public bool
	// Profile holds the latency targets, the timeout and the retries.
	Profile Profile
	// Shares lists the services that receive the requests, at least one.
	Shares []Share
}

// Share is one service of a route with its weight, the service's part of the
// requests relative to the sum of the weights.
type Share struct {
	Service string
	Weight  int
}

// Service selects a service by weight from the random number draw. If all
// weights are zero, it returns the first service.
func (r *HostRoute) Service(draw uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += max(0, s.Weight)
	}
	if total == 0 {
		if len(r.Shares) == 0 {
			return ""
		}
		return r.Shares[0].Service
	}
	n := int(draw % uint64(total))
	for _, s := range r.Shares {
		if n -= max(0, s.Weight); n < 0 {
			return s.Service
		}
	}
	return ""
}

// Engines describes the model engines of a service.
type Engines struct {
	// Tokens is the KV cache capacity of one engine, in tokens.
	Tokens int
	// TokenBytes is the KV cache size of one token, in bytes.
	TokenBytes int64
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// ExportTTL is how long an engine keeps the result of a prefill.
	ExportTTL clock.Millis `json:"HandleLife"`
	// MaxHold is the longest time that an engine reserves memory for a
	// request (a hold); zero means that holds are not used.
	MaxHold clock.Millis `json:"HoldMost"`
}

// ServiceSpec is the published description of one service.
type ServiceSpec struct {
	Name string
	// Engines is nil for a plain service.
	Engines *Engines
}

// InputLimits limits what callers may send and how long they may take.
type InputLimits struct {
	// Headers is the maximum total size of the headers of a request and Body that of its
	// body, in bytes; zero means that none is set.
	Headers, Body int64
	// Head is the time in which the head of a request must arrive, and Idle how long a
	// connection may stay unused; zero means that none is set.
	Head, Idle clock.Millis
}

// Manifest is the routing configuration that operators publish. Each
// publication replaces it as a whole and increases Version. An entry never
// reverts to a lower version.
type Manifest struct {
	Version  int64
	Routes   []HostRoute
	Services []ServiceSpec
	Limits   InputLimits
	// Accounts are the workspaces. If there are any, callers need the key of one, but
	// for public routes.
	Accounts []Account
}

// Service returns the service with the given name.
func (m *Manifest) Service(name string) (ServiceSpec, bool) {
	i := slices.IndexFunc(m.Services, func(s ServiceSpec) bool { return s.Name == name })
	if i < 0 {
		return ServiceSpec{}, false
	}
	return m.Services[i], true
}

// Fleet is the list of replicas at one revision of the metadata store.
type Fleet struct {
	// Era and Revision are the version of the store.
	Era      int64 `json:",omitempty"`
	Revision int64
	Replicas []Replica
}

// Version returns the version of the store of which the list is.
func (f *Fleet) Version() StoreVersion { return StoreVersion{Era: f.Era, Revision: f.Revision} }

// StoreVersion is a version of the platform's store. After a restore from an older copy
// revisions are assigned again, in a higher era, so that those of different eras can't be
// compared.
type StoreVersion struct {
	// Era is zero if it isn't known.
	Era, Revision int64
}

// Newer reports whether v is newer than o: any version of a higher era is.
func (v StoreVersion) Newer(o StoreVersion) bool {
	return v.Era > o.Era || v.Era == o.Era && v.Revision > o.Revision
}

// BadRow is a row of the list of replicas that names no replica to use.
type BadRow struct {
	Key string
	// Reason is short and holds no text of the row.
	Reason string
}

// Fingerprint returns a hash of the replicas and of whether they accept work.
// It doesn't depend on the revision, so it detects changes of the replicas.
func (f *Fleet) Fingerprint() uint64 {
	var sum uint64
	for i := range f.Replicas {
		r := &f.Replicas[i]
		// A sum is independent of the order of the replicas.
		sum += xxhash.Sum64String(fmt.Sprint(r.Name, " ", r.Addr, " ", r.Role, " ", r.Leaving, " ", r.Incarnation))
	}
	return sum
}

// Replica is one run of an upstream as it registered itself.
type Replica struct {
	Upstream
	// Leaving means that the replica accepts no new work.
	Leaving bool
	// Slots is the number of requests that the replica works on at once; zero means
	// that it is not known.
	Slots int `json:",omitempty"`
	// Incarnation identifies this run of the replica. It can't be compared
	// with times of this process.
	Incarnation int64 `json:"Born"`
}

// ReplicaNotice is what an answer of a replica states about the replica itself.
type ReplicaNotice struct {
	// Sent is the instant at which the request that was answered was sent.
	Sent clock.Millis
	// Leaving means that the replica will stop soon.
	Leaving bool
	// Pause is how long the replica wants no requests from this entry; zero means
	// that it asked for no pause.
	Pause clock.Millis
	// Unreadable is the value with which the replica asked for a pause, if it could
	// not be read.
	Unreadable string
	// Other names the replica that answered, if it wasn't the one that was asked.
	Other string
	// Refused means that there was no answer: the address refuses connections, so that
	// no process listens there.
	Refused bool
}
