package dispatch

import (
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
	if d.servers[s.life] != s {
		return // a life that is over
	}
	if word.Leaving {
		d.hearLeavingLocked(s, "")
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
}

// hearLeavingLocked takes a server's word that it will end; from names the entry that told of
// it, empty for the server itself.
func (d *Dispatcher) hearLeavingLocked(s *server, from string) {
	if s.leaving {
		return
	}
	s.leaving = true
	if d.OnLeaving != nil {
		d.OnLeaving(s.Instance, from)
	}
}

// hearRestLocked takes a server's word that it wants nothing from this entry for a time.
func (d *Dispatcher) hearRestLocked(now time.Time, s *server, lasts time.Duration) {
	if s.rest.ask(now, lasts) && d.OnRest != nil {
		d.OnRest(s.Instance, s.rest.until.Sub(now))
	}
}
