package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/serverlimit"
)

// applyLimitLocked takes what a server says of the requests that it takes, in the answer to one
// that was sent at that time.
func (d *Dispatcher) applyLimitLocked(now time.Time, s *server, limit *runworks.RateLimit, sent time.Time) {
	var news bool
	if limit.Named {
		news = s.limit.Set(now, now, limit.PerSecond)
	} else {
		news = s.limit.Clear(now, now, sent)
	}
	if news {
		d.limitChangedLocked(now, s, "")
		d.sendLimitLocked(now, s)
	}
}

// applyPeerLimitLocked takes what another entry told of the requests that a server takes, as it
// said at a time.
func (d *Dispatcher) applyPeerLimitLocked(now time.Time, s *server, limit *runworks.RateLimit, at time.Time, from string) {
	var news bool
	if limit.Named {
		news = s.limit.Set(now, at, limit.PerSecond)
	} else {
		news = s.limit.Clear(now, at, at)
		if word, _ := s.limit.Reported(); word.Named {
			d.sendLimitLocked(now, s) // the server named it again since
		}
	}
	if news {
		d.limitChangedLocked(now, s, from)
	}
}

// sendLimitLocked tells the others the server's newest word of the requests that it takes.
func (d *Dispatcher) sendLimitLocked(now time.Time, s *server) {
	d.sendNotice(s.limitNotice(now))
}

// limitNotice gives the server's newest word of the requests that it takes, for the others.
func (s *server) limitNotice(now time.Time) runworks.ServerNotice {
	word, at := s.limit.Reported()
	return runworks.ServerNotice{Server: s.incarnation, Limit: &word, LimitAgeMs: now.Sub(at).Milliseconds()}
}

// limitChangedLocked gives this entry its part of a limit that changed; from names the entry
// that told of it, empty for the server itself.
func (d *Dispatcher) limitChangedLocked(now time.Time, s *server, from string) {
	d.shareLimitLocked(now, s)
	// One that ends holds for a moment longer: its end is told then.
	if word, _ := s.limit.Reported(); word.Named && d.OnRateLimit != nil {
		d.OnRateLimit(s.Instance, LimitChange{Limit: word, From: from, Share: s.limit.Share(), Entries: len(d.others()) + 1})
	}
}

// LimitChange tells what changed of a server's limit.
type LimitChange struct {
	// Limit is the server's newest word.
	Limit runworks.RateLimit
	// From names the entry that told it; empty if the server did.
	From string
	// Share is this entry's part of the limit, and Entries among how many it is shared.
	Share   serverlimit.Share
	Entries int
}

// others gives the other entries that may send: those that are heard, and those that fell
// silent and do not count as gone yet.
func (d *Dispatcher) others() []runworks.Incarnation {
	return slices.AppendSeq(slices.Collect(maps.Keys(d.peers)), maps.Keys(d.unreachable))
}

// shareLimitLocked gives this entry its part of a server's limit: which entries have one is
// told by a hash of the server and the entries, which all have in common.
func (d *Dispatcher) shareLimitLocked(now time.Time, s *server) {
	others := d.others()
	own, ahead := rendezvousHash(s.incarnation, d.Self), 0
	for _, id := range others {
		if rendezvousHash(s.incarnation, id) > own {
			ahead++
		}
	}
	s.limit.SetShare(now, serverlimit.ShareOf(s.limit.PerSecond(), ahead, len(others)+1))
}

// shareLimitsLocked gives this entry its parts anew, as the entries changed.
func (d *Dispatcher) shareLimitsLocked(now time.Time) {
	for _, s := range d.servers {
		if s.limit.Active(now) {
			d.shareLimitLocked(now, s)
		}
	}
}

// expireLimitsLocked ends limits that servers name no more, and the parts of entries that are
// gone.
func (d *Dispatcher) expireLimitsLocked(now time.Time) {
	for _, s := range d.servers {
		if s.limit.Expired(now) {
			s.limit = serverlimit.Limit{}
			if d.OnRateLimit != nil {
				d.OnRateLimit(s.Instance, LimitChange{})
			}
		}
	}
	gone := false
	for id, since := range d.unreachable {
		if now.Sub(since) > runworks.EntryTimeout {
			delete(d.unreachable, id)
			gone = true
		}
	}
	if gone {
		d.shareLimitsLocked(now)
	}
}
