package streamorigin

import (
	"context"
	"slices"
	"time"

	"github.com/runworks/runworks"
)

// recordTimeout is how long after a version appeared the first events of its streams wait for the durable
// record of the version.
const recordTimeout = 250 * time.Millisecond

// requireRecord notes that the durable record lacks the version, or may lose it.
func (v *version) requireRecord(now time.Time) { v.recorded, v.changed = false, now }

// notifyLocked calls OnVersions if the durable record lacks a version.
func (t *Table) notifyLocked() {
	if t.OnVersions == nil {
		return
	}
	for _, all := range t.versions {
		for _, v := range all {
			if !v.recorded {
				t.OnVersions()
				return
			}
		}
	}
}

// Unrecorded returns the versions that count and that the durable record lacks.
func (t *Table) Unrecorded(now time.Time) []runworks.StreamVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.selectLocked(func(v *version) bool { return v.counts(now) && !v.recorded })
}

// Expired returns the versions that no longer count. They stay until Forget, so that the durable record
// can lose them as well.
func (t *Table) Expired(now time.Time) []runworks.StreamVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.selectLocked(func(v *version) bool { return !v.counts(now) })
}

// NoteRecorded notes that the durable record holds versions. Those that are unknown are added.
func (t *Table) NoteRecorded(now time.Time, list []runworks.StreamVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	written := slices.Clone(list)
	for i := range written {
		written[i].Recorded = true
	}
	t.addVersionsLocked(now, written)
}

// RecordLost notes that the durable record may lack any version.
func (t *Table) RecordLost(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changeVersionsLocked(now, func() {
		for _, all := range t.versions {
			for _, v := range all {
				v.requireRecord(now)
			}
		}
	})
}

// Renew makes a version that no longer counts, and that another entry has recorded again, count for its
// keep once more.
func (t *Table) Renew(now time.Time, one runworks.StreamVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.versionLocked(now, one.Service, one.Version); !v.counts(now) {
		v.until, v.recorded = now.Add(v.keep), true
	}
}

// Forget drops a version that no longer counts. One that counts again is kept.
func (t *Table) Forget(now time.Time, one runworks.StreamVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.versions[one.Service][one.Version]; v == nil || v.counts(now) {
		return
	}
	delete(t.versions[one.Service], one.Version)
	if len(t.versions[one.Service]) == 0 {
		delete(t.versions, one.Service)
	}
}

// AwaitRecorded waits until the durable record holds the version of a stream, for recordTimeout after the
// version appeared at most. It is called before the caller receives the first event: if all entries exit,
// the record alone says that the stream may be of another version than those that serve then.
func (t *Table) AwaitRecorded(ctx context.Context, o runworks.StreamOrigin) {
	for ctx.Err() == nil {
		t.mu.Lock()
		v := t.versions[o.Service][o.Version]
		if t.OnVersions == nil || v == nil || v.recorded {
			t.mu.Unlock()
			return
		}
		arrived, left := t.arrived.Wait(), time.Until(v.changed.Add(recordTimeout))
		t.mu.Unlock()
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-arrived:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}
