package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/runworks/runworks"
)

const (
	// minSpread is the time over which the exits of a part must be spread if servers answered it
	// shortly before. Calls with a part in common use run on all servers, so servers that exit all at
	// once seem to exit under it.
	minSpread = time.Second
	// sameMoment is how close together exits may be one event that took several servers.
	sameMoment = 250 * time.Millisecond
)

// changes are what a list of updates changed.
type changes struct {
	// find is set if the causes must be found again.
	find bool
	// quarantined and released are the traits that may be quarantined now, and that no longer are.
	quarantined, released map[runworks.Fingerprint]bool
}

func newChanges() *changes {
	return &changes{quarantined: make(map[runworks.Fingerprint]bool), released: make(map[runworks.Fingerprint]bool)}
}

// findCausesLocked finds the traits that best explain the exits, and quarantines just these. A server's
// exit is attributed to all traits of all calls that it had begun to run, so the traits of calls that
// only shared servers with the cause have exits too. The causes depend on the suspects alone, so that all
// entries find the same ones.
func (q *Quarantine) findCausesLocked(c *changes) {
	before := q.causes
	q.causes = make(map[runworks.Fingerprint]bool)
	explained := make(map[string]bool)
	for _, one := range q.candidatesLocked() {
		// Most of its exits must have no other cause: some servers exit under two causes at once.
		if 2*one.unexplained(explained) <= len(one.exits) {
			continue
		}
		q.causes[one.f] = true
		for server := range one.exits {
			explained[server] = true
		}
	}
	for f := range q.causes {
		if !before[f] {
			c.quarantined[f] = true
		}
	}
	for f := range before {
		if !q.causes[f] {
			c.released[f] = true
		}
	}
}

// candidate is a suspect with enough exits to be a cause.
type candidate struct {
	*suspect
	f        runworks.Fingerprint
	answered bool
}

// unexplained returns the number of the candidate's exits that have no other cause.
func (o *candidate) unexplained(explained map[string]bool) int {
	n := 0
	for server := range o.exits {
		if !explained[server] {
			n++
		}
	}
	return n
}

// candidatesLocked returns the suspects with enough exits, the likeliest cause first: one that no
// server answered shortly before, then the one with most exits. Of several with the same exits it is the
// one that fewest calls have: if that is the wrong one, the next exit shows it.
func (q *Quarantine) candidatesLocked() []candidate {
	var out []candidate
	if q.ExitThreshold == 0 {
		return nil
	}
	for f, s := range q.suspects {
		if len(s.exits) < q.ExitThreshold {
			continue
		}
		answered := f.IsPart() && s.answeredBefore()
		if answered && s.lastExit.Sub(s.firstExit) < minSpread {
			continue
		}
		out = append(out, candidate{suspect: s, f: f, answered: answered})
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(
			compareBool(a.answered, b.answered),
			cmp.Compare(len(b.exits), len(a.exits)),
			compareBool(a.f.IsPart(), b.f.IsPart()),
			cmp.Compare(b.position, a.position),
			cmp.Compare(a.f, b.f),
		)
	})
	return out
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// finishLocked draws the conclusions from a list of updates. It returns a function that calls the
// callbacks; call that without the lock.
func (q *Quarantine) finishLocked(now time.Time, c *changes) (notify func()) {
	if c.find {
		q.findCausesLocked(c)
	}
	var calls []func()
	for f := range c.quarantined {
		if held := q.heldForLocked(now, f); held > 0 && q.OnQuarantine != nil {
			snapshot := q.suspects[f].snapshot(f)
			calls = append(calls, func() { q.OnQuarantine(snapshot, held) })
		}
	}
	for f := range c.released {
		if s := q.suspects[f]; s != nil && q.OnRelease != nil {
			snapshot := s.snapshot(f)
			calls = append(calls, func() { q.OnRelease(snapshot) })
		}
	}
	return func() {
		for _, call := range calls {
			call()
		}
	}
}
