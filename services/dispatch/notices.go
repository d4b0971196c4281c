package dispatch

import (
	"time"

	"github.com/runworks/runworks"
)

// ApplyNotices applies server notices that another entry sent.
func (d *Dispatcher) ApplyNotices(from string, list []runworks.ServerNotice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, one := range list {
		e := earlyNotice{ServerNotice: one, from: from, receivedAt: now}
		if s := d.servers[one.Server]; s != nil {
			d.applyNoticeLocked(now, s, &e)
			continue
		}
		if d.pendingNotices == nil {
			d.pendingNotices = make(map[string]earlyNotice)
		}
		if older, ok := d.pendingNotices[one.Server]; ok || len(d.pendingNotices) < maxEarlyNotices {
			e.ServerNotice = one.Merge(older.AgedBy(now.Sub(older.receivedAt)))
			d.pendingNotices[one.Server] = e
		}
	}
}

// earlyNotice is a notice with its sender and time of receipt. A notice of a server whose record
// is not known yet is kept until it is: the handshakes of an entry that starts come before it
// has read any records.
type earlyNotice struct {
	runworks.ServerNotice
	from       string
	receivedAt time.Time
}

// expired reports whether the notice no longer needs to be kept.
func (e *earlyNotice) expired(now time.Time) bool {
	age := now.Sub(e.receivedAt)
	return age > expiredRetention || age > runworks.EntryTimeout && !e.Draining
}

// maxEarlyNotices bounds the notices that are kept for unknown servers. It is the number of
// servers of the largest system. An entry that has to drop notices gets the same information
// from the responses to its own calls.
const maxEarlyNotices = 4096

// applyNoticeLocked applies a notice to its server.
func (d *Dispatcher) applyNoticeLocked(now time.Time, s *server, e *earlyNotice) {
	if e.Draining {
		d.applyDrainingLocked(s, e.from)
	}
	if e.Limit != nil {
		at := e.receivedAt.Add(-time.Duration(e.LimitAgeMs) * time.Millisecond)
		d.applyPeerLimitLocked(now, s, e.Limit, at, e.from)
	}
}

// applyEarlyLocked applies the kept notices of servers that are known now, and removes those of
// servers that did not appear.
func (d *Dispatcher) applyEarlyLocked(now time.Time) {
	for incarnation, e := range d.pendingNotices {
		if s := d.servers[incarnation]; s != nil {
			d.applyNoticeLocked(now, s, &e)
			delete(d.pendingNotices, incarnation)
		} else if e.expired(now) {
			delete(d.pendingNotices, incarnation)
		}
	}
}

// sendNotice sends a notice to the other entries.
func (d *Dispatcher) sendNotice(notice runworks.ServerNotice) {
	if d.SendServerNotice != nil {
		d.SendServerNotice(notice)
	}
}

// ServerNotices returns the draining state and the limits of all servers, for an entry that
// may know none of them.
func (d *Dispatcher) ServerNotices() []runworks.ServerNotice {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var out []runworks.ServerNotice
	for _, s := range d.servers {
		one := runworks.ServerNotice{Server: s.incarnation}
		if limit, _ := s.limit.Reported(); limit.Named {
			one = s.limitNotice(now)
		}
		one.Draining = s.draining
		if one.Draining || one.Limit != nil {
			out = append(out, one)
		}
	}
	for incarnation, one := range d.expiredReports {
		if one.draining {
			out = append(out, runworks.ServerNotice{Server: incarnation, Draining: true})
		}
	}
	return out
}
