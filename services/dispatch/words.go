package dispatch

import (
	"maps"
	"math"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/serverlimit"
)

// words are what the life of a server said of itself in its answers. They stand beside its
// record, and neither takes the other's place.
type words struct {
	// limit is how many requests it takes, if it says so.
	limit serverlimit.Limit
	// leaving says that it will end.
	leaving bool
	// rest is when it wants nothing from this entry.
	rest rest
	// toldLoad is what it had to do, by its newest answer; nil is not told.
	toldLoad *runworks.ServerLoad
}

// Hear takes what the call's server says of itself, in the answer to a request that was sent
// at that time.
func (l *Lease) Hear(word *runworks.ServerWord, sent time.Time) {
	d := l.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	s := l.server
	if back := d.servers[s.life]; back != nil {
		s = back // its record may have lapsed meanwhile
	}
	if s.ended {
		return // a life that is over
	}
	if word.Leaving && d.hearLeavingLocked(s, "") && d.TellWord != nil {
		d.TellWord(runworks.ServerNotice{Server: s.life, Leaving: true})
	}
	if word.Rest > 0 {
		d.hearRestLocked(now, s, word.Rest)
	}
	if word.Limit != nil {
		d.hearLimitLocked(now, s, word.Limit, sent)
	}
	if word.Load != nil {
		s.toldLoad = word.Load
	}
	if d.servers[s.life] == nil {
		d.keepLapsed(now, s)
	}
}

// Withdrawn says whether the call's server takes nothing more by now: a call that got its slot
// before may still wait for a connection.
func (l *Lease) Withdrawn() bool {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	return l.server.Leaving || l.server.rest.asked(time.Now())
}

// hearLeavingLocked takes a server's word that it will end, and says whether that is news; from
// names the entry that told of it, empty for the server itself. What the server runs goes on,
// and it gets nothing new, whatever its record says: that may come late by all the time that
// the store is away, and calls that were sent meanwhile would end with the server.
func (d *Dispatcher) hearLeavingLocked(s *server, from string) bool {
	if s.leaving {
		return false
	}
	s.leaving, s.Leaving = true, true
	if d.OnLeaving != nil {
		d.OnLeaving(s.Instance, from)
	}
	return true
}

// hearRestLocked takes a server's word that it wants nothing from this entry for a time. The
// others are not told: they may be welcome there.
func (d *Dispatcher) hearRestLocked(now time.Time, s *server, lasts time.Duration) {
	if s.rest.ask(now, lasts) && d.OnRest != nil {
		d.OnRest(s.Instance, s.rest.until.Sub(now))
	}
}

// withheld says whether a server's own word keeps calls from it now.
func (s *server) withheld(now time.Time) bool {
	return !s.limit.Admits(now) || s.rest.asked(now)
}

// withheld says whether what all servers that calls of a service may go to say of themselves
// tells when calls start, and not how long calls keep their slots.
func (s *service) withheld(now time.Time) bool {
	n := 0
	for _, one := range s.servers {
		if one.Leaving {
			continue
		}
		if !one.limit.InForce(now) && !one.rest.asked(now) {
			return false
		}
		n++
	}
	return n > 0
}

// withheldStart is in how many seconds a call starts here that has so many ahead, where all
// servers have limits or rest; infinite if this entry has no part of any limit and is not
// likely to be lent one.
func (s *service) withheldStart(now time.Time, share float64, ahead int) float64 {
	soonest, rate, lends := math.Inf(1), 0.0, false
	for _, one := range s.servers {
		if one.Leaving {
			continue
		}
		soonest = min(soonest, max(one.limit.Wait(now), one.rest.wait(now)))
		rate += one.limit.Part().PerSecond
		lends = lends || !one.rest.asked(now)
	}
	if lends && s.borrowing.likely(now, ahead) {
		return 0
	}
	if rate *= share; ahead == 0 || rate == 0 {
		return soonest
	}
	return soonest + float64(ahead)/rate
}

// RestsFor is for how much longer all servers rest that a service's calls may go to; 0 if one
// does not.
func (d *Dispatcher) RestsFor(service string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.services[service]; s != nil {
		return s.restsFor(time.Now())
	}
	return 0
}

func (s *service) restsFor(now time.Time) time.Duration {
	soonest := time.Duration(0)
	for _, one := range s.servers {
		if one.Leaving {
			continue
		}
		if !one.rest.asked(now) {
			return 0
		}
		if left := one.rest.until.Sub(now); soonest == 0 || left < soonest {
			soonest = left
		}
	}
	return soonest
}

// TakeWords takes what another entry tells of the servers.
func (d *Dispatcher) TakeWords(from string, list []runworks.ServerNotice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, one := range list {
		e := earlyWord{ServerNotice: one, from: from, told: now}
		if s := d.servers[one.Server]; s != nil {
			d.takeWordLocked(now, s, &e)
			continue
		}
		if d.early == nil {
			d.early = make(map[string]earlyWord)
		}
		if len(d.early) < maxEarly {
			d.early[one.Server] = e
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

// maxEarly bounds the words that are kept for servers that are not known: all servers of the
// largest fleet. An entry that has no more room learns them from its own answers.
const maxEarly = 4096

// takeWordLocked takes what another entry told of a server.
func (d *Dispatcher) takeWordLocked(now time.Time, s *server, e *earlyWord) {
	if e.Leaving {
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
	for life, e := range d.early {
		if s := d.servers[life]; s != nil {
			d.takeWordLocked(now, s, &e)
			delete(d.early, life)
		} else if now.Sub(e.told) > runworks.ForgetEntryAfter {
			delete(d.early, life)
		}
	}
}

// lapsedWords are the words of a server whose record went at a time.
type lapsedWords struct {
	words
	went time.Time
}

// lapsedKept is how long the words that hold for a server's life, or for a told time, outlast
// its record: a server that leaves may run on for some tens of seconds.
const lapsedKept = time.Minute

// keepLapsed keeps the words of a server whose record went: that may have lapsed while the
// store was away, and the server, which goes on, may come back with it. Without its words all
// entries would fill its slots until it says them anew.
func (d *Dispatcher) keepLapsed(now time.Time, s *server) {
	if !s.limit.InForce(now) && !s.leaving && !s.rest.asked(now) {
		return
	}
	if d.lapsed == nil {
		d.lapsed = make(map[string]lapsedWords)
	}
	d.lapsed[s.life] = lapsedWords{words: s.words, went: now}
}

// takeLapsed gives the words back that a server had said when its record went.
func (d *Dispatcher) takeLapsed(life string) words {
	w := d.lapsed[life].words
	delete(d.lapsed, life)
	return w
}

// tendLapsedLocked forgets the words of servers that did not come back.
func (d *Dispatcher) tendLapsedLocked(now time.Time) {
	maps.DeleteFunc(d.lapsed, func(_ string, one lapsedWords) bool {
		gone := now.Sub(one.went)
		return gone > lapsedKept || gone > runworks.ForgetEntryAfter && !one.leaving && !one.rest.asked(now)
	})
}

// Words gives what servers say of themselves to all, for another entry, which may know nothing.
func (d *Dispatcher) Words() []runworks.ServerNotice {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var out []runworks.ServerNotice
	for _, s := range d.servers {
		one := runworks.ServerNotice{Server: s.life, Leaving: s.leaving}
		if word, at := s.limit.Word(); word.Named {
			one.Limit, one.LimitAgeMs = &word, now.Sub(at).Milliseconds()
		}
		if one.Leaving || one.Limit != nil {
			out = append(out, one)
		}
	}
	return out
}
