package dispatch

import (
	"maps"
	"time"

	"github.com/runworks/runworks"
)

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
	if !s.limit.Active(now) && !s.leaving && !s.rest.asked(now) {
		return
	}
	if d.expiredReports == nil {
		d.expiredReports = make(map[string]lapsedWords)
	}
	d.expiredReports[s.life] = lapsedWords{words: s.words, went: now}
}

// takeLapsed gives the words back that a server had said when its record went.
func (d *Dispatcher) takeLapsed(life string) words {
	w := d.expiredReports[life].words
	delete(d.expiredReports, life)
	return w
}

// tendLapsedLocked forgets the words of servers that did not come back.
func (d *Dispatcher) tendLapsedLocked(now time.Time) {
	maps.DeleteFunc(d.expiredReports, func(_ string, one lapsedWords) bool {
		gone := now.Sub(one.went)
		return gone > lapsedKept || gone > runworks.EntryTimeout && !one.leaving && !one.rest.asked(now)
	})
}
