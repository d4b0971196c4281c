package quarantine

import (
	"time"

	"github.com/runworks/runworks"
)

const (
	// answeredFor is for how long an answer speaks for a request. Many callers may send the
	// same one, and when all servers of a service end at once it is at each of them: held
	// for that, it would never be answered again. Long enough that one which comes each few
	// seconds is always among them; short, as a new version of a server may end under what
	// the old one answered.
	answeredFor = 30 * time.Second
	// maxAnswered bounds the answers that are kept: about a minute's of a host in the largest
	// fleet.
	maxAnswered = 4096
)

// answers remember the requests that were answered last. The zero value is ready; it takes
// no lock.
type answers struct {
	// at is when each was answered last, and ring the order in which they came.
	at   map[runworks.Fingerprint]time.Time
	ring []runworks.Fingerprint
	next int
}

// add remembers an answer in the place of the oldest.
func (a *answers) add(now time.Time, f runworks.Fingerprint) {
	if a.at == nil {
		a.at = make(map[runworks.Fingerprint]time.Time, maxAnswered)
	}
	if _, known := a.at[f]; known {
		a.at[f] = now
		return
	}
	a.at[f] = now
	if len(a.ring) < maxAnswered {
		a.ring = append(a.ring, f)
		return
	}
	delete(a.at, a.ring[a.next])
	a.ring[a.next] = f
	a.next = (a.next + 1) % maxAnswered
}

// has says whether a request was answered of late.
func (a *answers) has(now time.Time, f runworks.Fingerprint) bool {
	at, ok := a.at[f]
	return ok && now.Sub(at) <= answeredFor
}
