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
		e := earlyWord{ServerNotice: one, from: from, told: now}
		if s := d.servers[one.Server]; s != nil {
			d.takeWordLocked(now, s, &e)
			continue
		}
		if d.pendingNotices == nil {
			d.pendingNotices = make(map[string]earlyWord)
		}
		if older, ok := d.pendingNotices[one.Server]; ok || len(d.pendingNotices) < maxEarly {
			e.ServerNotice = one.Merge(older.AgedBy(now.Sub(older.told)))
			d.pendingNotices[one.Server] = e
		}
	}
}

// earlyWord is what another entry told of a server at a time. Of a server whose record is not
// known yet it is kept until it is: an entry that starts is greeted before it has read any.
type earlyWord struct {
	runworks.ServerNotice
	from string
	told time.Time
}

// expired says whether the word need not be kept any more.
func (e *earlyWord) expired(now time.Time) bool {
	age := now.Sub(e.told)
	return age > lapsedKept || age > runworks.EntryTimeout && !e.Draining
}

// maxEarly bounds the words that are kept for servers that are not known: all servers of the
// largest fleet. An entry that has no more room learns them from its own answers.
const maxEarly = 4096

// takeWordLocked takes what another entry told of a server.
func (d *Dispatcher) takeWordLocked(now time.Time, s *server, e *earlyWord) {
	if e.Draining {
		d.hearLeavingLocked(s, e.from)
	}
	if e.Limit != nil {
		at := e.told.Add(-time.Duration(e.LimitAgeMs) * time.Millisecond)
		d.takeLimitLocked(now, s, e.Limit, at, e.from)
	}
}

// takeEarlyLocked takes what was told of servers that are known now, and forgets what was told
// of those that did not come.
func (d *Dispatcher) takeEarlyLocked(now time.Time) {
	for life, e := range d.pendingNotices {
		if s := d.servers[life]; s != nil {
			d.takeWordLocked(now, s, &e)
			delete(d.pendingNotices, life)
		} else if e.expired(now) {
			delete(d.pendingNotices, life)
		}
	}
}

// tellWord has the others told of a server's words.
func (d *Dispatcher) tellWord(notice runworks.ServerNotice) {
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
		one := runworks.ServerNotice{Server: s.life}
		if word, _ := s.limit.Reported(); word.Named {
			one = s.limitNotice(now)
		}
		one.Draining = s.leaving
		if one.Draining || one.Limit != nil {
			out = append(out, one)
		}
	}
	for life, one := range d.expiredReports {
		if one.leaving {
			out = append(out, runworks.ServerNotice{Server: life, Draining: true})
		}
	}
	return out
}
