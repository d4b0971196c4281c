package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/serverlimit"
)

// hearLimitLocked takes what a server says of the requests that it takes, in the answer to one
// that was sent at that time.
func (d *Dispatcher) hearLimitLocked(now time.Time, s *server, limit *runworks.RateLimit, sent time.Time) {
	var news bool
	if limit.Named {
		news = s.limit.Name(now, now, limit.PerSecond)
	} else {
		news = s.limit.End(now, now, sent)
	}
	if news {
		d.limitChangedLocked(now, s, "")
		d.tellLimitLocked(now, s)
	}
}

// TakeLimits takes what another entry tells of the servers' limits.
func (d *Dispatcher) TakeLimits(from string, list []runworks.ServerLimit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, one := range list {
		e := earlyLimit{ServerLimit: one, from: from, told: now, at: now.Add(-time.Duration(one.AgeMs) * time.Millisecond)}
		if s := d.servers[one.Server]; s != nil {
			d.takeLimitLocked(now, s, &e)
			continue
		}
		if d.early == nil {
			d.early = make(map[string]earlyLimit)
		}
		if len(d.early) < maxEarly {
			d.early[one.Server] = e
		}
	}
}

// earlyLimit is what another entry told of a server's limit at a time; of a server whose
// record is not known yet it is kept until it is: an entry that starts is greeted before it
// has read any.
type earlyLimit struct {
	runworks.ServerLimit
	from string
	// at is when the server gave its word, and told when this entry was told it.
	at, told time.Time
}

// maxEarly bounds the limits that are kept for servers that are not known: all servers of
// the largest fleet. An entry that has no more room learns them from its own answers.
const maxEarly = 4096

// takeLimitLocked takes what another entry told of a server's limit.
func (d *Dispatcher) takeLimitLocked(now time.Time, s *server, e *earlyLimit) {
	var news bool
	if e.Named {
		news = s.limit.Name(now, e.at, e.PerSecond)
	} else {
		news = s.limit.End(now, e.at, e.at)
		if word, _ := s.limit.Word(); word.Named {
			d.tellLimitLocked(now, s) // the server named it again since
		}
	}
	if news {
		d.limitChangedLocked(now, s, e.from)
	}
}

// takeEarlyLocked takes what was told of the limits of servers that are known now, and
// forgets what was told of those that did not come.
func (d *Dispatcher) takeEarlyLocked(now time.Time) {
	for life, e := range d.early {
		if s := d.servers[life]; s != nil {
			d.takeLimitLocked(now, s, &e)
			delete(d.early, life)
		} else if now.Sub(e.told) > runworks.ForgetEntryAfter {
			delete(d.early, life)
		}
	}
}

// lapsedLimit is the limit of a server whose record went at a time.
type lapsedLimit struct {
	limit serverlimit.Limit
	went  time.Time
}

// keepLapsed keeps the limit of a server whose record went: that may have lapsed while the
// store was away, and the server, which goes on, may come back with it. Without its limit all
// entries would fill its slots until it names it anew.
func (d *Dispatcher) keepLapsed(now time.Time, s *server) {
	if !s.limit.InForce(now) {
		return
	}
	if d.lapsed == nil {
		d.lapsed = make(map[string]lapsedLimit)
	}
	d.lapsed[s.life] = lapsedLimit{limit: s.limit, went: now}
}

// takeLapsed gives the limit back that a server had when its record went.
func (d *Dispatcher) takeLapsed(life string) serverlimit.Limit {
	limit := d.lapsed[life].limit
	delete(d.lapsed, life)
	return limit
}

// Limits gives the servers' limits for another entry, which may know none.
func (d *Dispatcher) Limits() []runworks.ServerLimit {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var out []runworks.ServerLimit
	for _, s := range d.servers {
		if word, _ := s.limit.Word(); word.Named {
			out = append(out, s.tellLimit(now))
		}
	}
	return out
}

// tellLimit gives the server's newest word for the other entries.
func (s *server) tellLimit(now time.Time) runworks.ServerLimit {
	word, at := s.limit.Word()
	return runworks.ServerLimit{RateLimit: word, Server: s.life, AgeMs: now.Sub(at).Milliseconds()}
}

func (d *Dispatcher) tellLimitLocked(now time.Time, s *server) {
	if d.TellLimit != nil {
		d.TellLimit(s.tellLimit(now))
	}
}

// limitChangedLocked gives this entry its part of a limit that changed; from names the entry
// that told of it, empty for the server itself.
func (d *Dispatcher) limitChangedLocked(now time.Time, s *server, from string) {
	d.partLimitLocked(now, s)
	// One that ends holds for a moment longer: its end is told then.
	if word, _ := s.limit.Word(); word.Named && d.OnLimit != nil {
		d.OnLimit(s.Instance, LimitChange{Word: word, From: from, Part: s.limit.Part(), Entries: len(d.others()) + 1})
	}
}

// LimitChange tells what changed of a server's limit.
type LimitChange struct {
	// Word is the server's newest word.
	Word runworks.RateLimit
	// From names the entry that told it; empty if the server did.
	From string
	// Part is this entry's part of the limit, and Entries among how many it is shared.
	Part    serverlimit.Part
	Entries int
}

// others gives the other entries that may send: those that are heard, and those that fell
// silent and do not count as gone yet.
func (d *Dispatcher) others() []runworks.Incarnation {
	return slices.AppendSeq(slices.Collect(maps.Keys(d.peers)), maps.Keys(d.absent))
}

// partLimitLocked gives this entry its part of a server's limit: which entries have one is
// told by a hash of the server and the entries, which all have in common.
func (d *Dispatcher) partLimitLocked(now time.Time, s *server) {
	others := d.others()
	own, ahead := draw(s.life, d.Self), 0
	for _, id := range others {
		if draw(s.life, id) > own {
			ahead++
		}
	}
	s.limit.Share(now, serverlimit.PartOf(s.limit.PerSecond(), ahead, len(others)+1))
}

// partLimitsLocked gives this entry its parts anew, as the entries changed.
func (d *Dispatcher) partLimitsLocked(now time.Time) {
	for _, s := range d.servers {
		if s.limit.InForce(now) {
			d.partLimitLocked(now, s)
		}
	}
}

// tendLimitsLocked ends limits that servers name no more, and the parts of entries that are
// gone.
func (d *Dispatcher) tendLimitsLocked(now time.Time) {
	for _, s := range d.servers {
		if s.limit.Over(now) {
			s.limit = serverlimit.Limit{}
			if d.OnLimit != nil {
				d.OnLimit(s.Instance, LimitChange{})
			}
		}
	}
	maps.DeleteFunc(d.lapsed, func(_ string, one lapsedLimit) bool { return now.Sub(one.went) > runworks.ForgetEntryAfter })
	gone := false
	for id, since := range d.absent {
		if now.Sub(since) > runworks.ForgetEntryAfter {
			delete(d.absent, id)
			gone = true
		}
	}
	if gone {
		d.partLimitsLocked(now)
	}
}

// limited says whether all servers that calls of a service may go to have limits: then
// these tell when calls start, and not how long calls keep their slots.
func (s *service) limited(now time.Time) bool {
	n := 0
	for _, one := range s.servers {
		if one.Leaving {
			continue
		}
		if !one.limit.InForce(now) {
			return false
		}
		n++
	}
	return n > 0
}

// limitedStart is in how many seconds a call starts here that has so many ahead, where all
// servers have limits; infinite if this entry has no part of any and is not likely to be lent
// one.
func (s *service) limitedStart(now time.Time, share float64, ahead int) float64 {
	if s.borrowing.likely(now, ahead) {
		return 0
	}
	soonest, rate := math.Inf(1), 0.0
	for _, one := range s.servers {
		if !one.Leaving {
			soonest = min(soonest, one.limit.Wait(now))
			rate += one.limit.Part().PerSecond
		}
	}
	if rate *= share; ahead == 0 || rate == 0 {
		return soonest
	}
	return soonest + float64(ahead)/rate
}
