package poison

import (
	"context"
	"encoding/json"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// Enter waits, if the digest is a suspect, until no other suspect of any entry
// is at the upstreams, and keeps others from them until leave is called. A
// digest that is no suspect enters at once.
func (b *Book) Enter(ctx context.Context, digest uint64, upstreams ...string) (leave func(), err error) {
	if !b.Suspect(digest) {
		return func() {}, nil
	}
	if err := b.occupy(ctx, upstreams); err != nil {
		return nil, err
	}
	claimed, err := b.claim(ctx, upstreams)
	if err != nil {
		b.vacate(upstreams)
		return nil, err
	}
	return func() {
		b.release(ctx, claimed)
		b.vacate(upstreams)
	}, nil
}

// occupy keeps the upstreams from other suspects of this entry.
func (b *Book) occupy(ctx context.Context, upstreams []string) error {
	for {
		freed, ok := b.tryOccupy(upstreams)
		if ok {
			return nil
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (b *Book) tryOccupy(upstreams []string) (freed <-chan struct{}, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busy == nil {
		b.busy = make(map[string]bool)
		b.freed = make(chan struct{})
	}
	for _, name := range upstreams {
		if b.busy[name] {
			return b.freed, false
		}
	}
	for _, name := range upstreams {
		b.busy[name] = true
	}
	return nil, true
}

func (b *Book) vacate(upstreams []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range upstreams {
		delete(b.busy, name)
	}
	close(b.freed)
	b.freed = make(chan struct{})
}

// room is the row that keeps an upstream from the suspects of other entries.
type room struct {
	Entry string `json:"entry"`
	// Until is the wall time from which another entry may take it over.
	Until clock.Millis `json:"until"`
}

// Times of a room.
const (
	roomLife    = 2 * clock.Minute
	roomPause   = 250 * clock.Millis(1)
	roomPrefix  = "poison/room/"
	roomTimeout = 2 * clock.Second
)

// claim takes the rooms of the upstreams in the table, and returns their rows
// as written. While the table is down it claims nothing: suspects are then
// kept apart at each entry alone.
func (b *Book) claim(ctx context.Context, upstreams []string) ([]core.Row, error) {
	for b.Table != nil {
		writes, free, err := b.vacant(ctx, upstreams)
		if err != nil {
			break
		}
		if free {
			done, err := b.Table.Commit(ctx, writes...)
			if err != nil {
				break
			}
			if done.OK() {
				return written(writes, done), nil
			}
		}
		if err := b.Clock.Sleep(ctx, roomPause); err != nil {
			return nil, err
		}
	}
	return nil, ctx.Err()
}

// vacant returns the writes that claim the rooms, and whether all are free.
func (b *Book) vacant(ctx context.Context, upstreams []string) (writes []core.Write, free bool, err error) {
	keys := make([]string, len(upstreams))
	for i, name := range upstreams {
		keys[i] = roomPrefix + name
	}
	rows, err := b.Table.Read(ctx, keys...)
	if err != nil {
		return nil, false, err
	}
	now := b.wall()
	// The type's fields always encode.
	value, _ := json.Marshal(room{Entry: b.Self, Until: now + roomLife})
	for _, key := range keys {
		w := core.Write{Key: key, Value: value}
		for _, row := range rows {
			var r room
			if row.Key != key {
				continue
			}
			if json.Unmarshal(row.Value, &r) == nil && r.Until > now {
				return nil, false, nil
			}
			w.Expect = row.Revision
		}
		writes = append(writes, w)
	}
	return writes, true, nil
}

func written(writes []core.Write, done core.Committed) []core.Row {
	rows := make([]core.Row, len(writes))
	for i, w := range writes {
		rows[i] = core.Row{Key: w.Key, Revision: done.Revisions[i]}
	}
	return rows
}

// release gives the rooms back. Those that can't be given back are free again
// after their time.
func (b *Book) release(ctx context.Context, rows []core.Row) {
	if len(rows) == 0 {
		return
	}
	ctx, done := context.WithTimeout(context.WithoutCancel(ctx), roomTimeout.Std())
	defer done()
	writes := make([]core.Write, len(rows))
	for i, row := range rows {
		writes[i] = core.Write{Key: row.Key, Expect: row.Revision, Delete: true}
	}
	_, _ = b.Table.Commit(ctx, writes...)
}
