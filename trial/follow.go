package trial

import (
	"context"
	"net/http"
	"sync"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
)

// Follower is a caller that does as callers are told: it keeps an answer of
// addresses for as long as it may, uses the first of them, and then asks one
// of them again. Safe for many threads.
type Follower struct {
	Key   string
	HTTP  *http.Client
	Clock clock.Clock

	mu      sync.Mutex
	addrs   []string
	expires clock.Millis
}

// Follower returns a caller that begins with the i-th entry.
func (s *Set) Follower(i int) *Follower {
	return Follow(s.Entries[i].Addr)
}

// Follow returns a caller that begins with the entry at addr.
func Follow(addr string) *Follower {
	return &Follower{Key: Key, addrs: []string{addr}}
}

// Client returns a caller of the entry that is to be used now.
func (f *Follower) Client(ctx context.Context) (*Client, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Clock.Now() >= f.expires {
		if err := f.refresh(ctx); err != nil {
			return nil, err
		}
	}
	return f.clientFor(f.addrs[0]), nil
}

func (f *Follower) clientFor(addr string) *Client {
	return &Client{Addr: addr, Key: f.Key, HTTP: f.HTTP}
}

// refresh asks the known entries in turn for addresses.
func (f *Follower) refresh(ctx context.Context) error {
	var faults []error
	for _, addr := range f.addrs {
		a, err := f.clientFor(addr).AddressAnswer(ctx)
		switch {
		case err != nil:
			faults = append(faults, err)
		case len(a.Addresses) == 0:
			faults = append(faults, errors.Errorf("trial: %s gives no address", addr))
		default:
			f.addrs, f.expires = a.Addresses, f.Clock.Now()+a.TTL
			return nil
		}
	}
	return errors.Join(faults...)
}
