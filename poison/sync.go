package poison

import (
	"context"
	"encoding/json"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// Every is the time between two reads of the table.
const Every = 1 * clock.Second

// Bounds of the calls of the table.
const (
	keepTimeout = 2 * clock.Second
	keepTries   = 4
	pageRows    = 500
	markPrefix  = "poison/mark/"
)

// Follow reads the marks from the table, and writes those that it lacks, until
// ctx ends.
func (b *Book) Follow(ctx context.Context) {
	if b.Table == nil {
		return
	}
	b.poll(ctx)
	b.Clock.Every(ctx, Every, b.poll)
}

func (b *Book) poll(ctx context.Context) {
	// What comes up after the read has begun is not judged by it.
	before := b.Snapshot()
	held, err := b.read(ctx)
	if err != nil {
		return
	}
	b.forget(before, held)
	for _, m := range held {
		b.add(m)
	}
	for _, m := range before {
		if !m.Kept {
			b.keep(ctx, m)
		}
	}
}

// read returns the marks in the table, and removes those whose time is over.
func (b *Book) read(ctx context.Context) (map[uint64]Mark, error) {
	held := make(map[uint64]Mark)
	for after := ""; ; {
		rows, err := b.Table.List(ctx, markPrefix, after, pageRows)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			after = row.Key
			m, ok := decode(row)
			switch {
			case ok && m.Until > b.wall():
				held[m.Digest] = m
			default:
				_, _ = b.Table.Commit(ctx, core.Write{Key: row.Key, Expect: row.Revision, Delete: true})
			}
		}
		if len(rows) < pageRows {
			return held, nil
		}
	}
}

// forget drops the marks that the table had before and has no longer: their
// time is over, or an operator lifted them.
func (b *Book) forget(before []Mark, held map[uint64]Mark) {
	for _, m := range before {
		if _, ok := held[m.Digest]; m.Kept && !ok {
			b.marks.Delete(m.Digest)
		}
	}
}

func decode(row core.Row) (Mark, bool) {
	var m Mark
	if json.Unmarshal(row.Value, &m) != nil || markPrefix+Name(m.Digest) != row.Key {
		return m, false
	}
	m.Kept = true
	return m, true
}

// keep joins the mark with the table's row and returns the result. If the
// table doesn't answer, the mark stays for the next poll.
func (b *Book) keep(ctx context.Context, m Mark) Mark {
	if b.Table == nil {
		return m
	}
	ctx, done := context.WithTimeout(context.WithoutCancel(ctx), keepTimeout.Std())
	defer done()
	for range keepTries {
		all, ok, err := b.tryKeep(ctx, m)
		if err != nil {
			return m
		}
		if ok {
			all.Kept = true
			return b.add(all)
		}
	}
	return m
}

// tryKeep makes one conditional write; ok is false if another came first.
func (b *Book) tryKeep(ctx context.Context, m Mark) (all Mark, ok bool, err error) {
	key := markPrefix + Name(m.Digest)
	rows, err := b.Table.Read(ctx, key)
	if err != nil {
		return m, false, err
	}
	all = m
	w := core.Write{Key: key}
	for _, row := range rows {
		w.Expect = row.Revision
		if known, valid := decode(row); valid {
			all = join(known, m)
		}
	}
	if w.Value, err = json.Marshal(all); err != nil {
		return m, false, err
	}
	done, err := b.Table.Commit(ctx, w)
	return all, done.OK(), err
}

// Lift removes a digest's mark from the table; all entries follow within
// [Every]. Its error is [codes.NotFound] if there is none.
func (b *Book) Lift(ctx context.Context, digest uint64) error {
	key := markPrefix + Name(digest)
	for range keepTries {
		rows, err := b.Table.Read(ctx, key)
		if err != nil {
			return err
		}
		if len(rows) == 0 {
			return codes.New(codes.NotFound, "digest %s", Name(digest))
		}
		done, err := b.Table.Commit(ctx, core.Write{Key: key, Expect: rows[0].Revision, Delete: true})
		if err != nil {
			return err
		}
		if done.OK() {
			b.marks.Delete(digest)
			return nil
		}
	}
	return codes.New(codes.Conflict, "digest %s: changed beside", Name(digest))
}
