package quarantine

import (
	"time"

	"github.com/runworks/runworks"
)

const (
	// answerRetention is how long an answer counts against exits that follow it. Many calls may have
	// a trait in common, and when all servers of a service exit at once each of them runs it. The
	// retention always covers a trait that comes every few seconds; it is short, as a new version
	// of a server may exit on what the old one answered.
	answerRetention = 30 * time.Second
	// maxAnswers bounds the answers that are kept: about a minute's worth of a host in the
	// largest installation.
	maxAnswers = 4096
)

// answers holds the traits that were answered last. The zero value is ready; it is guarded by
// Quarantine's lock.
type answers struct {
	// lastAt is when each was last answered, and ring their order of arrival.
	lastAt map[runworks.Fingerprint]time.Time
	ring   []runworks.Fingerprint
	next   int
}

// add adds an answer, in place of the oldest if there are too many.
func (a *answers) add(now time.Time, f runworks.Fingerprint) {
	if a.lastAt == nil {
		a.lastAt = make(map[runworks.Fingerprint]time.Time, maxAnswers)
	}
	if _, known := a.lastAt[f]; known {
		a.lastAt[f] = now
		return
	}
	a.lastAt[f] = now
	if len(a.ring) < maxAnswers {
		a.ring = append(a.ring, f)
		return
	}
	delete(a.lastAt, a.ring[a.next])
	a.ring[a.next] = f
	a.next = (a.next + 1) % maxAnswers
}

// before returns when a trait was last answered, if that was at most answerRetention before at, or
// after it; otherwise the zero time.
func (a *answers) before(at time.Time, f runworks.Fingerprint) time.Time {
	last, ok := a.lastAt[f]
	if !ok || at.Sub(last) > answerRetention {
		return time.Time{}
	}
	return last
}
