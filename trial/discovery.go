package trial

import (
	"context"
	"net/http"
	"sync"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/clock"
)

// DiscoveryClient finds entries in the way that the documentation prescribes to
// callers: it uses the first address of a list until the list's TTL expires, and
// then fetches a new list from one of the known addresses. It is safe for
// concurrent use.
type DiscoveryClient struct {
	Key   string
	HTTP  *http.Client
	Clock clock.Clock

	mu      sync.Mutex
	addrs   []string     // the current list; Client uses the first
	expires clock.Millis // when the list expires
}

// DiscoveryClient returns a discovery client that starts with the i-th entry.
func (c *Cluster) DiscoveryClient(i int) *DiscoveryClient {
	return NewDiscoveryClient(c.Entries[i].Addr)
}

// NewDiscoveryClient returns a discovery client that starts with the entry at
// addr.
func NewDiscoveryClient(addr string) *DiscoveryClient {
	return &DiscoveryClient{Key: CallerKey, addrs: []string{addr}}
}

// Client returns a client of the entry to use now. It first refreshes an expired
// address list.
func (d *DiscoveryClient) Client(ctx context.Context) (*Client, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Clock.Now() >= d.expires {
		if err := d.refresh(ctx); err != nil {
			return nil, err
		}
	}
	return d.clientFor(d.addrs[0]), nil
}

// clientFor returns a client of the entry at addr.
func (d *DiscoveryClient) clientFor(addr string) *Client {
	return &Client{Addr: addr, Key: d.Key, HTTP: d.HTTP}
}

// refresh fetches a new address list from the known entries, in order, until one
// returns addresses. The caller holds the lock.
func (d *DiscoveryClient) refresh(ctx context.Context) error {
	var errs []error
	for _, addr := range d.addrs {
		list, err := d.clientFor(addr).FetchAddresses(ctx)
		switch {
		case err != nil:
			errs = append(errs, err)
		case len(list.Addresses) == 0:
			errs = append(errs, errors.Errorf("trial: %s returned no addresses", addr))
		default:
			d.addrs, d.expires = list.Addresses, d.Clock.Now()+list.TTL
			return nil
		}
	}
	return errors.Join(errs...)
}
