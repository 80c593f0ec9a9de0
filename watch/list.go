package watch

import (
	"slices"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
	"lacewinghook.example/lacewinghook/core"
)

// applyFleet installs a list that was read from the store. A list older than
// the current one is ignored; ok is false then. bad holds the keys of bad rows.
func (w *Watcher) applyFleet(fleet core.Fleet, bad map[string]bool) (ok bool) {
	w.install.Lock()
	defer w.install.Unlock()
	now := w.Clock.Now()
	w.mu.Lock()
	if current := w.fleet.Version(); current.Newer(fleet.Version()) {
		if fleet.Fingerprint() == w.membersHash {
			// A peer has reported a later read of the same list meanwhile.
			w.recordRead(now)
			w.readAt = now
			w.mu.Unlock()
			return true
		}
		w.mu.Unlock()
		w.log().Warn("watch: ignored a list of replicas older than the current one", zap.Int64("era", fleet.Era),
			zap.Int64("revision", fleet.Revision), zap.Int64("have", current.Revision))
		return false
	}
	w.recordRead(now)
	w.readAt = now
	fleet = w.setFleet(fleet, bad, "store", 0)
	w.mu.Unlock()
	w.OnFleet(fleet)
	return true
}

// setFleet installs a list that was read and returns the one to use. Until keepMissingUntil
// that one includes the replicas in use that the list lacks, but for those with a bad row, and
// after the store was restored the others stay as they were ([asBefore]). from and age tell
// for the log where the list is from and when it was read. The caller holds w.mu.
func (w *Watcher) setFleet(fleet core.Fleet, bad map[string]bool, from string, age clock.Millis) core.Fleet {
	now := w.Clock.Now()
	before := w.fleet
	w.listed, w.membersHash = fleet, fleet.Fingerprint()
	if now < w.eras.restoredUntil && len(before.Replicas) > 0 {
		fleet.Replicas = asBefore(fleet.Replicas, before.Replicas)
	}
	used := w.membersHash
	if now < w.keepMissingUntil {
		fleet.Replicas = withMissing(fleet.Replicas, before.Replicas, bad)
		used = fleet.Fingerprint()
	}
	changed := used != w.usedHash
	w.fleet, w.usedHash = fleet, used
	if changed {
		w.log().Info("watch: the replicas changed", zap.Int64("era", fleet.Era), zap.Int64("revision", fleet.Revision),
			zap.Int64("before", before.Revision), zap.String("from", from), zap.Int64("age", int64(age)),
			zap.Int("replicas", len(fleet.Replicas)), zap.Strings("kept", missingNames(w.listed.Replicas, fleet.Replicas)))
	}
	return fleet
}

// keeping reports whether the list in use differs from the one that was read. The caller
// holds w.mu.
func (w *Watcher) keeping() bool { return w.usedHash != w.membersHash }

// dropKept replaces the list in use by the one that was read, without the replicas kept. It is
// called once an entry has read the same members after keepMissingUntil: their rows won't come
// back.
func (w *Watcher) dropKept() {
	w.install.Lock()
	defer w.install.Unlock()
	w.mu.Lock()
	drop := w.keeping() && w.Clock.Now() >= w.keepMissingUntil
	if drop {
		w.setFleet(w.listed, nil, "peer", 0)
	}
	fleet := w.fleet
	w.mu.Unlock()
	if drop {
		w.OnFleet(fleet)
	}
}

// recordRead records a read of the store at that instant by any entry. If the
// store rejects only this entry's calls, the reads of peers show that it is up.
// After a gap in the reads of all entries, missing replicas are kept for
// keepMissingFor. The caller holds w.mu.
func (w *Watcher) recordRead(at clock.Millis) {
	if outage := at - w.confirmedAt; w.confirmedAt != 0 && outage > minOutage+maxFleetAge {
		w.keepMissingUntil = w.Clock.Now() + keepMissingFor
		w.log().Info("watch: keeping missing replicas after an outage of the store", zap.Int64("away", int64(outage)))
	}
	w.confirmedAt = max(w.confirmedAt, at)
}

// withMissing adds to list the earlier replicas that it lacks and whose names aren't in
// except.
func withMissing(list, earlier []core.Replica, except map[string]bool) []core.Replica {
	list = slices.Clip(list)
	have := make(map[string]bool, len(list))
	for i := range list {
		have[list[i].Name] = true
	}
	for _, r := range earlier {
		if !have[r.Name] && !except[r.Name] {
			list = append(list, r)
		}
	}
	return list
}

// missingNames returns the names of the replicas of list that read lacks.
func missingNames(read, list []core.Replica) []string {
	have := make(map[string]bool, len(read))
	for i := range read {
		have[read[i].Name] = true
	}
	var names []string
	for i := range list {
		if !have[list[i].Name] {
			names = append(names, list[i].Name)
		}
	}
	return names
}
