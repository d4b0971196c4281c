package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/serverlimit"
)

// applyLimitLocked applies the rate limit that a server reported in the response to a request
// sent at that time.
func (d *Dispatcher) applyLimitLocked(now time.Time, s *server, limit *runworks.RateLimit, sent time.Time) {
	var changed bool
	if limit.Named {
		changed = s.limit.Set(now, now, limit.PerSecond)
	} else {
		changed = s.limit.Clear(now, now, sent)
	}
	if changed {
		d.limitChangedLocked(now, s, "")
		d.sendLimitLocked(now, s)
	}
}

// applyPeerLimitLocked applies a rate limit that a server reported to another entry at the given
// time.
func (d *Dispatcher) applyPeerLimitLocked(now time.Time, s *server, limit *runworks.RateLimit, at time.Time, from string) {
	var changed bool
	if limit.Named {
		changed = s.limit.Set(now, at, limit.PerSecond)
	} else {
		changed = s.limit.Clear(now, at, at)
		if latest, _ := s.limit.Reported(); latest.Named {
			d.sendLimitLocked(now, s) // the server has reported the limit again since
		}
	}
	if changed {
		d.limitChangedLocked(now, s, from)
	}
}

// sendLimitLocked sends the rate limit that a server reported last to the other entries.
func (d *Dispatcher) sendLimitLocked(now time.Time, s *server) {
	d.sendNotice(s.limitNotice(now))
}

// limitNotice returns the rate limit that the server reported last as a notice.
func (s *server) limitNotice(now time.Time) runworks.ServerNotice {
	limit, at := s.limit.Reported()
	return runworks.ServerNotice{Server: s.incarnation, Limit: &limit, LimitAgeMs: now.Sub(at).Milliseconds()}
}

// limitChangedLocked computes this entry's share of a changed limit. from is the entry that sent
// the notice, or empty if the server itself reported the limit.
func (d *Dispatcher) limitChangedLocked(now time.Time, s *server, from string) {
	d.shareLimitLocked(now, s)
	// A limit that ends is still enforced for a moment; expireLimitsLocked reports its end.
	if limit, _ := s.limit.Reported(); limit.Named && d.OnRateLimit != nil {
		d.OnRateLimit(s.Instance, LimitChange{
			Limit: limit, From: from, Share: s.limit.Share(), Entries: len(d.others()) + 1,
		})
	}
}

// LimitChange is a change of a server's rate limit. The zero value means that the limit ended.
type LimitChange struct {
	// Limit is the limit that the server reported last.
	Limit runworks.RateLimit
	// From is the entry that sent the notice; empty if the server itself reported the limit.
	From string
	// Share is this entry's share of the limit.
	Share serverlimit.Share
	// Entries is the number of entries among which the limit is divided.
	Entries int
}

// others returns the other entries that may be sending requests: those that are connected, and
// those that timed out less than runworks.EntryTimeout ago.
func (d *Dispatcher) others() []runworks.Incarnation {
	return slices.AppendSeq(slices.Collect(maps.Keys(d.peers)), maps.Keys(d.unreachable))
}

// shareLimitLocked computes this entry's share of a server's limit. The entries agree on which
// of them have a share by rendezvous hashing of the server and the entries.
func (d *Dispatcher) shareLimitLocked(now time.Time, s *server) {
	others := d.others()
	own, ahead := rendezvousHash(s.incarnation, d.Self), 0
	for _, id := range others {
		if rendezvousHash(s.incarnation, id) > own {
			ahead++
		}
	}
	s.limit.SetShare(now, serverlimit.ShareOf(s.limit.PerSecond(now), ahead, len(others)+1))
}

// shareLimitsLocked computes this entry's shares of all limits after the set of entries changed.
func (d *Dispatcher) shareLimitsLocked(now time.Time) {
	for _, s := range d.servers {
		if s.limit.Active(now) {
			d.shareLimitLocked(now, s)
		}
	}
}

// expireLimitsLocked removes limits that have ended, and entries that timed out more than
// runworks.EntryTimeout ago, whose shares are redistributed.
func (d *Dispatcher) expireLimitsLocked(now time.Time) {
	for _, s := range d.servers {
		expired := s.limit.Expired(now)
		if s.limit.RemoveExpired(now) {
			d.shareLimitLocked(now, s)
		}
		if expired && d.OnRateLimit != nil {
			d.OnRateLimit(s.Instance, LimitChange{})
		}
	}
	removed := false
	for id, since := range d.unreachable {
		if now.Sub(since) > runworks.EntryTimeout {
			delete(d.unreachable, id)
			removed = true
		}
	}
	if removed {
		d.shareLimitsLocked(now)
	}
}
