package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/runworks/runworks"
)

const (
	// maxSuspects bounds the suspects that are kept. A server's exit adds as many as the calls that
	// it had just begun have traits, about thirty.
	maxSuspects = 4096
	// recordThreshold is the number of exits from which a suspect is written to the store. A
	// server's exit makes suspects of all calls that it had just begun, and nearly all are
	// cleared by their next answer.
	recordThreshold = 2
	// maxExits bounds the exits that are kept per trait.
	maxExits = 16
)

// Quarantine tracks the traits of the calls under which backend servers exited, called suspects, and
// finds the traits that cause the exits. Set the exported fields before use. The zero value
// quarantines nothing.
type Quarantine struct {
	// ExitThreshold is the number of server exits that quarantine a trait; 0 quarantines none.
	ExitThreshold int
	// Duration is how long a request is quarantined after the last exit. Then it may be sent once
	// more, and one more exit quarantines it again. A prompt part is tried earlier.
	Duration time.Duration
	// Stagger is the part of a trial's wait, from 0 to 1, by which this entry waits longer than the
	// first, so that entries do not try a part at the same moment.
	Stagger float64
	// OnUpdate is called with what this entry observed itself, to send to the others, and OnRecord
	// with a trait of which what is known must be recorded in the store. Either may be nil. They must
	// not block.
	OnUpdate func([]runworks.Suspect)
	OnRecord func(runworks.Fingerprint)
	// OnQuarantine is called with a trait that is quarantined from now on and for how long, and
	// OnRelease with one that no longer is, or that no longer is a suspect. OnTrial is called with
	// one of which this entry is about to send a call. Any may be nil. They must not block.
	OnQuarantine func(s runworks.Suspect, wait time.Duration)
	OnRelease    func(runworks.Suspect)
	OnTrial      func(runworks.Suspect)

	// count is the number of suspects, so that calls need no lock while there are none.
	count    atomic.Int64
	mu       sync.Mutex
	suspects map[runworks.Fingerprint]*suspect
	// causes are the traits that are quarantined; see findCausesLocked.
	causes map[runworks.Fingerprint]bool
	// answeredRequests and answeredParts are kept apart: requests are many more.
	answeredRequests, answeredParts answers
	disconnects                     disconnects
}

// Empty reports whether there are no suspects.
func (q *Quarantine) Empty() bool { return q.count.Load() == 0 }

// AttributeExit attributes the exit of a backend server, observed at the time at, to the traits of a
// call that it had begun to run. A request that was answered recently is not suspected.
func (q *Quarantine) AttributeExit(now, at time.Time, traits []runworks.Trait, server string) {
	at = at.Round(0) // without the monotonic clock reading, as the others receive it
	var updates []runworks.Suspect
	q.mu.Lock()
	for _, t := range traits {
		update := newUpdate(t)
		if t.Fingerprint.IsPart() {
			update.ClearedAt = q.answeredParts.before(at, t.Fingerprint)
		} else if !q.answeredRequests.before(at, t.Fingerprint).IsZero() {
			continue
		}
		update.Exits = []runworks.ServerExit{{Server: server, At: at}}
		updates = append(updates, update)
	}
	q.mu.Unlock()
	q.observe(now, updates)
}

// newUpdate returns an update about a trait that says nothing of it yet.
func newUpdate(t runworks.Trait) runworks.Suspect {
	return runworks.Suspect{Fingerprint: t.Fingerprint, Part: t.Part, Position: t.Position}
}

// observe applies what this entry observed, and passes on what was new of it.
func (q *Quarantine) observe(now time.Time, updates []runworks.Suspect) {
	if len(updates) == 0 {
		return
	}
	q.mu.Lock()
	news, records, notify := q.observeLocked(now, updates, newChanges())
	q.mu.Unlock()
	notify()
	q.publish(news, records)
}

// observeLocked applies what this entry observed, after the updates noted in c. It returns what was new of
// it, the traits to record, and a function that calls the callbacks; call that without the lock.
func (q *Quarantine) observeLocked(now time.Time, updates []runworks.Suspect, c *changes) (news []runworks.Suspect, records []runworks.Fingerprint, notify func()) {
	recorded := make(map[runworks.Fingerprint]bool)
	for i := range updates {
		f := updates[i].Fingerprint
		recorded[f] = q.mustRecordLocked(f)
		if q.addLocked(now, &updates[i], c) {
			news = append(news, updates[i])
		}
	}
	notify = q.finishLocked(now, c)
	for i := range news {
		if f := news[i].Fingerprint; recorded[f] || q.mustRecordLocked(f) {
			records = append(records, f)
		}
	}
	return news, records, notify
}

// publish passes on updates to the other entries and traits to the store.
func (q *Quarantine) publish(updates []runworks.Suspect, records []runworks.Fingerprint) {
	if q.OnUpdate != nil && len(updates) > 0 {
		q.OnUpdate(updates)
	}
	if q.OnRecord != nil {
		for _, f := range records {
			q.OnRecord(f)
		}
	}
}

// RecordDisconnect records that a backend server closed the connection as it began to run a call with
// these traits. A later ServerRemoved proves that the server exited.
func (q *Quarantine) RecordDisconnect(now time.Time, traits []runworks.Trait, server string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.disconnects.add(now, traits, server)
}

// ServerRemoved records that a backend server is gone though it had not announced that it would
// drain. It attributes the exit to the calls of the server's recent disconnects and returns their
// requests.
func (q *Quarantine) ServerRemoved(now time.Time, server string) []runworks.Fingerprint {
	q.mu.Lock()
	list := q.disconnects.take(now, server)
	q.mu.Unlock()
	var out []runworks.Fingerprint
	for _, one := range list {
		q.AttributeExit(now, one.at, one.traits, server)
		out = append(out, one.traits[0].Fingerprint)
	}
	return out
}

// RecordAnswer records that a backend server answered a call with these traits, or has answered it
// for so long that its exit would not be attributed to the call, and clears the traits.
func (q *Quarantine) RecordAnswer(now time.Time, traits []runworks.Trait) {
	var updates []runworks.Suspect
	q.mu.Lock()
	for _, t := range traits {
		if t.Fingerprint.IsPart() {
			q.answeredParts.add(now.Round(0), t.Fingerprint)
		} else {
			q.answeredRequests.add(now.Round(0), t.Fingerprint)
		}
		if s := q.suspects[t.Fingerprint]; s != nil && len(s.exits) > 0 {
			update := newUpdate(t)
			update.ClearedAt = now.Round(0)
			updates = append(updates, update)
		}
	}
	q.mu.Unlock()
	q.observe(now, updates)
}

// Release clears all exits attributed to a trait so far, here and at the other entries. It reports
// whether there were any.
func (q *Quarantine) Release(now time.Time, f runworks.Fingerprint) bool {
	q.mu.Lock()
	s := q.suspects[f]
	known := s != nil && len(s.exits) > 0
	q.mu.Unlock()
	if known {
		q.observe(now, []runworks.Suspect{{Fingerprint: f, ClearedAt: now.Round(0)}})
	}
	return known
}

// Apply adds updates from another entry or from the stored record. It answers with what this entry
// knows in favor of a part: the sender may have seen no answer of it.
func (q *Quarantine) Apply(now time.Time, list []runworks.Suspect) {
	var answered []runworks.Suspect
	c := newChanges()
	q.mu.Lock()
	for i := range list {
		f := list[i].Fingerprint
		if !q.addLocked(now, &list[i], c) || !f.IsPart() {
			continue
		}
		s := q.suspects[f]
		at := q.answeredParts.before(s.firstExit, f)
		if len(s.exits) > 0 && at.After(s.clearedAt) && (at.After(s.firstExit) || !s.answeredBefore()) {
			answered = append(answered, runworks.Suspect{Fingerprint: f, ClearedAt: at})
		}
	}
	news, records, notify := q.observeLocked(now, answered, c)
	q.mu.Unlock()
	notify()
	q.publish(news, records)
}

// Get returns what is known of a trait.
func (q *Quarantine) Get(f runworks.Fingerprint) runworks.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.suspects[f]; s != nil {
		return s.snapshot(f)
	}
	return runworks.Suspect{Fingerprint: f}
}

// List returns all suspects, in the order of their fingerprints.
func (q *Quarantine) List(now time.Time) []runworks.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pruneLocked(now)
	out := make([]runworks.Suspect, 0, len(q.suspects))
	for f, s := range q.suspects {
		out = append(out, s.snapshot(f))
	}
	slices.SortFunc(out, func(a, b runworks.Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Unrecorded returns the traits for which the stored record lacks exits that must be recorded, or a
// later clearing of the exits it has.
func (q *Quarantine) Unrecorded(now time.Time, record []runworks.Suspect) []runworks.Fingerprint {
	recorded := Quarantine{Duration: q.Duration}
	recorded.Apply(now, record)
	var out []runworks.Fingerprint
	for _, s := range q.List(now) {
		other := recorded.Get(s.Fingerprint)
		q.mu.Lock()
		exits := q.mustRecordLocked(s.Fingerprint) && len(other.Exits) < len(s.Exits)
		q.mu.Unlock()
		cleared := len(other.Exits) > 0 && s.ClearedAt.After(other.ClearedAt)
		if exits || cleared {
			out = append(out, s.Fingerprint)
		}
	}
	return out
}

// Report is a suspect as operators see it.
type Report struct {
	runworks.Suspect
	// HeldMs is for how much longer the trait is quarantined, in milliseconds; 0 if calls with it may
	// be sent. For a part it is the time until the next trial.
	HeldMs int64 `json:"held_ms"`
}

// Reports returns the traits with attributed exits, for operators.
func (q *Quarantine) Reports(now time.Time) []Report {
	out := []Report{}
	for _, s := range q.List(now) {
		if len(s.Exits) > 0 {
			held := q.HeldFor(now, []runworks.Trait{{Fingerprint: s.Fingerprint}})
			out = append(out, Report{Suspect: s, HeldMs: held.Milliseconds()})
		}
	}
	return out
}

// Expired reports whether nothing in an update counts any more.
func (q *Quarantine) Expired(now time.Time, s *runworks.Suspect) bool {
	last := s.ClearedAt
	for _, e := range s.Exits {
		last = later(last, e.At)
	}
	return now.Sub(last) > q.retention()
}

// retention is how long a suspect is kept after its last exit: twice the time that a request is
// quarantined, so that one more exit is enough after that.
func (q *Quarantine) retention() time.Duration { return 2 * q.Duration }
