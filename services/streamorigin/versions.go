package streamorigin

import (
	"slices"
	"strings"
	"time"

	"github.com/runworks/runworks"
)

const (
	// versionMemory is how long a version counts after its last server was removed, unless a caller may
	// resume one of its streams for longer.
	versionMemory = 30 * time.Second
	// maxVersionMemory bounds what callers can set by the time that they state.
	maxVersionMemory = 10 * time.Minute
)

// version is what is known of a software version of a service.
type version struct {
	// until is until when the version counts; zero while it has servers.
	until time.Time
	// keep is how long it counts after its last server was removed.
	keep time.Duration
	// recorded is set while the durable record holds the version with its keep, and changed is when it
	// last became necessary to record it.
	recorded bool
	changed  time.Time
	// appeared is when the version became known here, position a later position of the list of servers, and spread is set once
	// the other entries know the list up to there.
	appeared time.Time
	position runworks.Position
	spread   bool
}

func (v *version) counts(now time.Time) bool { return v.until.IsZero() || now.Before(v.until) }

// versions are the versions of one service by name.
type versions map[string]*version

// current returns the names of the versions that count.
func (s versions) current(now time.Time) []string {
	var out []string
	for name, v := range s {
		if v.counts(now) {
			out = append(out, name)
		}
	}
	return out
}

// SetServers sets the listed backend servers. The other entries receive the streams of a service as
// soon as its servers have several versions; until then they need not know them.
func (t *Table) SetServers(now time.Time, servers []runworks.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changeVersionsLocked(now, func() { t.setListedLocked(now, servers) })
}

// ApplyVersions adds the versions of the durable record, or those that another entry knows. Those without
// a listed server count as if their last one had been removed now: when it was is not known. Afterwards
// the versions that served before this entry started are known.
func (t *Table) ApplyVersions(now time.Time, list []runworks.StreamVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loaded = true
	t.addVersionsLocked(now, list)
}

// changeVersionsLocked applies a change of the versions and sends the streams of services that now have
// several.
func (t *Table) changeVersionsLocked(now time.Time, change func()) {
	before := t.mixedLocked(now)
	change()
	for service := range t.mixedLocked(now) {
		if !before[service] {
			t.sendLocked(t.listLocked(now, func(o origin) bool { return o.own && o.service == service }))
		}
	}
	t.notifyLocked()
}

// setListedLocked sets the versions that have servers. The others count for their keep more.
func (t *Table) setListedLocked(now time.Time, servers []runworks.Instance) {
	listed := make(map[string]map[string]bool)
	for i := range servers {
		service, name := servers[i].Service, servers[i].Version
		if listed[service] == nil {
			listed[service] = make(map[string]bool)
		}
		listed[service][name] = true
		v := t.versionLocked(now, service, name)
		if !v.until.IsZero() && t.listed {
			v.requireRecord(now) // another entry may be removing the record at this moment
		}
		v.until = time.Time{}
	}
	for service, all := range t.versions {
		for name, v := range all {
			if v.until.IsZero() && !listed[service][name] {
				v.until = now.Add(v.keep)
			}
		}
	}
	t.listed = true
}

// versionLocked returns a version. One that is unknown is added as if its last server had been removed now.
func (t *Table) versionLocked(now time.Time, service, name string) *version {
	if t.versions == nil {
		t.versions = make(map[string]versions)
	}
	if t.versions[service] == nil {
		t.versions[service] = make(versions)
	}
	v := t.versions[service][name]
	if v == nil {
		v = &version{until: now.Add(versionMemory), keep: versionMemory, changed: now, appeared: now}
		t.versions[service][name] = v
	}
	return v
}

// addVersionsLocked adds versions that the durable record or another entry names.
func (t *Table) addVersionsLocked(now time.Time, list []runworks.StreamVersion) {
	t.changeVersionsLocked(now, func() {
		for _, one := range list {
			t.addVersionLocked(now, one)
		}
	})
	t.arrived.Signal()
}

func (t *Table) addVersionLocked(now time.Time, one runworks.StreamVersion) {
	_, known := t.versions[one.Service][one.Version]
	v := t.versionLocked(now, one.Service, one.Version)
	keep := min(time.Duration(one.KeepMs)*time.Millisecond, maxVersionMemory)
	v.recorded = v.recorded || one.Recorded && keep >= v.keep
	v.keep = max(v.keep, keep)
	if !known {
		v.until = now.Add(v.keep)
	}
}

// extendLocked makes a version count for at least as long as the caller of one of its streams may resume
// it. The steps are coarse, so that the durable record changes rarely.
func (t *Table) extendLocked(now time.Time, o runworks.StreamOrigin) {
	v, left := t.versionLocked(now, o.Service, o.Version), time.Duration(o.LeftMs)*time.Millisecond
	extended := false
	for v.keep < min(left, maxVersionMemory) {
		v.keep, extended = min(2*v.keep, maxVersionMemory), true
	}
	if !extended {
		return
	}
	v.requireRecord(now)
	if !v.until.IsZero() {
		v.until = now.Add(v.keep)
	}
	t.notifyLocked()
}

// mixedLocked returns the services that have, or recently had, servers of several versions, or whose streams were moved.
func (t *Table) mixedLocked(now time.Time) map[string]bool {
	out := make(map[string]bool)
	for service := range t.versions {
		if t.isMixedLocked(now, service) {
			out[service] = true
		}
	}
	return out
}

func (t *Table) isMixedLocked(now time.Time, service string) bool {
	return len(t.versions[service].current(now)) > 1 || t.isMovedLocked(now, service)
}

// Versions returns the versions that count, for other entries; nil if this entry does not know those that
// served before it started.
func (t *Table) Versions(now time.Time) []runworks.StreamVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.knowsVersionsLocked(now) {
		return nil
	}
	return t.selectLocked(func(v *version) bool { return v.counts(now) })
}

// selectLocked returns the versions that match, in order.
func (t *Table) selectLocked(match func(v *version) bool) []runworks.StreamVersion {
	var out []runworks.StreamVersion
	for service, all := range t.versions {
		for name, v := range all {
			if match(v) {
				out = append(out, runworks.StreamVersion{Service: service, Version: name, KeepMs: v.keep.Milliseconds(), Recorded: v.recorded})
			}
		}
	}
	slices.SortFunc(out, func(a, b runworks.StreamVersion) int {
		return strings.Compare(a.Service+"\x00"+a.Version, b.Service+"\x00"+b.Version)
	})
	return out
}

// knowsVersionsLocked reports whether the versions that served before this entry started are known. After
// versionMemory their streams have ended, but for those of callers that wait for very long.
func (t *Table) knowsVersionsLocked(now time.Time) bool {
	return t.loaded || t.Started.IsZero() || now.Sub(t.Started) >= versionMemory
}
