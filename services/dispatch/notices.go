package dispatch

import (
	"time"

	"github.com/runworks/runworks"
)

// ApplyNotices takes what another entry tells of the servers.
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

// earlyNotice is what another entry told of a server at a time. Of a server whose record is not
// known yet it is kept until it is: an entry that starts is greeted before it has read any.
type earlyNotice struct {
	runworks.ServerNotice
	from       string
	receivedAt time.Time
}

// expired says whether the word need not be kept any more.
func (e *earlyNotice) expired(now time.Time) bool {
	age := now.Sub(e.receivedAt)
	return age > expiredRetention || age > runworks.EntryTimeout && !e.Draining
}

// maxEarlyNotices bounds the words that are kept for servers that are not known: all servers of the
// largest fleet. An entry that has no more room learns them from its own answers.
const maxEarlyNotices = 4096

// applyNoticeLocked takes what another entry told of a server.
func (d *Dispatcher) applyNoticeLocked(now time.Time, s *server, e *earlyNotice) {
	if e.Draining {
		d.applyDrainingLocked(s, e.from)
	}
	if e.Limit != nil {
		at := e.receivedAt.Add(-time.Duration(e.LimitAgeMs) * time.Millisecond)
		d.applyPeerLimitLocked(now, s, e.Limit, at, e.from)
	}
}

// applyEarlyLocked takes what was told of servers that are known now, and forgets what was told
// of those that did not come.
func (d *Dispatcher) applyEarlyLocked(now time.Time) {
	for life, e := range d.pendingNotices {
		if s := d.servers[life]; s != nil {
			d.applyNoticeLocked(now, s, &e)
			delete(d.pendingNotices, life)
		} else if e.expired(now) {
			delete(d.pendingNotices, life)
		}
	}
}

// sendNotice has the others told of a server's words.
func (d *Dispatcher) sendNotice(notice runworks.ServerNotice) {
	if d.SendServerNotice != nil {
		d.SendServerNotice(notice)
	}
}

// ServerNotices gives what servers say of themselves to all, for another entry, which may know nothing.
func (d *Dispatcher) ServerNotices() []runworks.ServerNotice {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var out []runworks.ServerNotice
	for _, s := range d.servers {
		one := runworks.ServerNotice{Server: s.incarnation}
		if word, _ := s.limit.Reported(); word.Named {
			one = s.limitNotice(now)
		}
		one.Draining = s.draining
		if one.Draining || one.Limit != nil {
			out = append(out, one)
		}
	}
	for life, one := range d.expiredReports {
		if one.draining {
			out = append(out, runworks.ServerNotice{Server: life, Draining: true})
		}
	}
	return out
}
