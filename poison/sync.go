package poison

import (
	"context"
	"encoding/json"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// PollInterval is the time between two reads of the table.
const PollInterval = 1 * clock.Second

// Limits of table accesses, and the key prefix of suspects. pageRows is the
// number of rows per read.
const (
	saveTimeout     = 2 * clock.Second
	maxSaveAttempts = 4
	pageRows        = 500
	suspectPrefix   = "poison/mark/"
)

// Run polls the table for suspects, and writes local suspects that the table
// lacks, until ctx ends.
func (q *Quarantine) Run(ctx context.Context) {
	if q.Table == nil {
		return
	}
	q.poll(ctx)
	q.Clock.Every(ctx, PollInterval, q.poll)
}

// poll synchronizes this entry's suspects with the table, once.
func (q *Quarantine) poll(ctx context.Context) {
	// Only suspects that were local before the read are compared with its
	// result: one found during the read may be missing from it.
	known := q.Snapshot()
	inTable, err := q.readTable(ctx)
	if err != nil {
		return
	}
	q.dropDeleted(known, inTable)
	for _, s := range inTable {
		q.addLocal(s)
	}
	for _, s := range known {
		if !s.Saved {
			q.save(ctx, s)
		}
	}
}

// readTable returns the suspects in the table, and deletes rows that have
// expired or cannot be decoded.
func (q *Quarantine) readTable(ctx context.Context) (map[uint64]Suspect, error) {
	inTable := make(map[uint64]Suspect)
	for after := ""; ; {
		rows, err := q.Table.List(ctx, suspectPrefix, after, pageRows)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			after = row.Key
			s, ok := decode(row)
			switch {
			case ok && s.Until > q.wall():
				inTable[s.Digest] = s
			default:
				_, _ = q.Table.Commit(ctx, core.Write{Key: row.Key, Expect: row.Revision, Delete: true})
			}
		}
		if len(rows) < pageRows {
			return inTable, nil
		}
	}
}

// dropDeleted drops saved suspects that are no longer in the table: they have
// expired or an operator has lifted them.
func (q *Quarantine) dropDeleted(known []Suspect, inTable map[uint64]Suspect) {
	for _, s := range known {
		if _, ok := inTable[s.Digest]; s.Saved && !ok {
			q.local.Delete(s.Digest)
		}
	}
}

// decode decodes a suspect's row. It returns false if the value does not match
// the key.
func decode(row core.Row) (Suspect, bool) {
	var s Suspect
	if json.Unmarshal(row.Value, &s) != nil || suspectPrefix+FormatDigest(s.Digest) != row.Key {
		return s, false
	}
	s.Saved = true
	return s, true
}

// save merges the suspect with its row in the table and returns the result. If
// the table fails to respond, the suspect stays unsaved until the next poll.
func (q *Quarantine) save(ctx context.Context, s Suspect) Suspect {
	if q.Table == nil {
		return s
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), saveTimeout.Duration())
	defer cancel()
	for range maxSaveAttempts {
		all, ok, err := q.trySave(ctx, s)
		if err != nil {
			return s
		}
		if ok {
			all.Saved = true
			return q.addLocal(all)
		}
	}
	return s
}

// trySave makes one conditional write; ok is false if a concurrent write came
// first.
func (q *Quarantine) trySave(ctx context.Context, s Suspect) (all Suspect, ok bool, err error) {
	key := suspectPrefix + FormatDigest(s.Digest)
	rows, err := q.Table.Read(ctx, key)
	if err != nil {
		return s, false, err
	}
	all = s
	w := core.Write{Key: key}
	for _, row := range rows {
		w.Expect = row.Revision
		if known, valid := decode(row); valid {
			all = union(known, s)
		}
	}
	if w.Value, err = json.Marshal(all); err != nil {
		return s, false, err
	}
	done, err := q.Table.Commit(ctx, w)
	return all, done.OK(), err
}

// Lift removes a digest from the table; all entries follow within
// [PollInterval]. Its error is [codes.NotFound] if the table does not have the
// digest, and [codes.Conflict] after too many concurrent changes.
func (q *Quarantine) Lift(ctx context.Context, digest uint64) error {
	key := suspectPrefix + FormatDigest(digest)
	for range maxSaveAttempts {
		rows, err := q.Table.Read(ctx, key)
		if err != nil {
			return err
		}
		if len(rows) == 0 {
			return codes.New(codes.NotFound, "digest %s", FormatDigest(digest))
		}
		done, err := q.Table.Commit(ctx, core.Write{Key: key, Expect: rows[0].Revision, Delete: true})
		if err != nil {
			return err
		}
		if done.OK() {
			q.local.Delete(digest)
			return nil
		}
	}
	return codes.New(codes.Conflict, "digest %s: too many concurrent changes", FormatDigest(digest))
}
