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
func (c *Set) Follower(i int) *Follower {
	return Follow(c.Entries[i].Addr)
}

// Follow returns a caller that begins with the entry at addr.
func Follow(addr string) *Follower {
	return &Follower{Key: Key, addrs: []string{addr}}
}

// Client returns a caller of the entry that is to be used now.
func (d *Follower) Client(ctx context.Context) (*Client, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Clock.Now() >= d.expires {
		if err := d.refresh(ctx); err != nil {
			return nil, err
		}
	}
	return d.clientFor(d.addrs[0]), nil
}

func (d *Follower) clientFor(addr string) *Client {
	return &Client{Addr: addr, Key: d.Key, HTTP: d.HTTP}
}

// refresh asks the known entries in turn for addresses.
func (d *Follower) refresh(ctx context.Context) error {
	var faults []error
	for _, addr := range d.addrs {
		a, err := d.clientFor(addr).FetchAddresses(ctx)
		switch {
		case err != nil:
			faults = append(faults, err)
		case len(a.Addresses) == 0:
			faults = append(faults, errors.Errorf("trial: %s gives no address", addr))
		default:
			d.addrs, d.expires = a.Addresses, d.Clock.Now()+a.TTL
			return nil
		}
	}
	return errors.Join(faults...)
}
