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
	// maxSuspects bounds the requests that are known: a server's end makes as many as it
	// had calls that had just begun, some ten.
	maxSuspects = 4096
	// recordFrom is from how many ends on a request is worth a record. A server's end makes
	// suspects of all calls that it had just begun, and nearly all are cleared by their next
	// answer.
	recordFrom = 2
	// maxEnds bounds the ends that are kept of one request.
	maxEnds = 16
)

// Quarantine knows the requests under which backend servers ended; set the exported fields
// before use. The zero value holds nothing.
type Quarantine struct {
	// ExitThreshold is under how many ends of backend servers a request is held; 0 holds none.
	ExitThreshold int
	// Duration is for how long it is held after the last of them. Then it may be tried once more,
	// and one end more holds it again.
	Duration time.Duration
	// OnUpdate is told what this entry saw itself, for the others, and whether it is worth a
	// record; nil tells nobody. It must not wait.
	OnUpdate func(s runworks.Suspect, record bool)
	// OnQuarantine is told of a request that is held from now on and for how long, and OnLifted
	// of one that no longer is a suspect; nil tells nobody. They must not wait.
	OnQuarantine func(s runworks.Suspect, wait time.Duration)
	OnRelease    func(runworks.Fingerprint)

	// known is how many suspects there are, so that calls look without a lock while there
	// are none.
	known    atomic.Int64
	mu       sync.Mutex
	suspects map[runworks.Fingerprint]*suspect
	answered answers
	broken   breaks
}

// suspect is a request under which backend servers ended.
type suspect struct {
	// ends are when each life ended under it.
	ends map[string]time.Time
	// last is the newest of them, and cleared until when none counts.
	last, cleared time.Time
}

// Empty says that no request is a suspect.
func (q *Quarantine) Empty() bool { return q.known.Load() == 0 }

// HeldFor gives for how much longer a request is held; 0 if it may be sent.
func (q *Quarantine) HeldFor(now time.Time, f runworks.Fingerprint) time.Duration {
	if q.Empty() {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.heldLocked(now, q.suspects[f])
}

func (q *Quarantine) heldLocked(now time.Time, s *suspect) time.Duration {
	if s == nil || q.ExitThreshold == 0 || len(s.ends) < q.ExitThreshold {
		return 0
	}
	return max(q.Duration-now.Sub(s.last), 0)
}

// AttributeExit records that a life of a backend server ended as it began to run a request. One
// that was answered a moment ago is not to blame.
func (q *Quarantine) AttributeExit(now time.Time, f runworks.Fingerprint, server string) {
	q.mu.Lock()
	if q.answered.has(now, f) {
		q.mu.Unlock()
		return
	}
	// Without its monotonic part, as others are told it.
	news := runworks.Suspect{Fingerprint: f, Exits: []runworks.ServerExit{{Server: server, At: now.Round(0)}}}
	tell := q.addLocked(now, &news)
	record := len(q.suspects[f].ends) >= recordFrom
	q.mu.Unlock()
	tell()
	if q.OnUpdate != nil {
		q.OnUpdate(news, record)
	}
}

// RecordDisconnect records that a life of a backend server broke a request off as it began to run it:
// Gone within a while proves that the life ended.
func (q *Quarantine) RecordDisconnect(now time.Time, f runworks.Fingerprint, server string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.broken.add(now, f, server)
}

// ServerRemoved records that a life of a backend server is over, though it did not say before that it
// would end; it gives the requests that it had broken off a while ago.
func (q *Quarantine) ServerRemoved(now time.Time, server string) []runworks.Fingerprint {
	q.mu.Lock()
	list := q.broken.take(now, server)
	q.mu.Unlock()
	for _, f := range list {
		q.AttributeExit(now, f, server)
	}
	return list
}

// RecordAnswer records that a backend server gave a request a whole answer: it ends none.
func (q *Quarantine) RecordAnswer(now time.Time, f runworks.Fingerprint) {
	q.mu.Lock()
	q.answered.add(now, f)
	s := q.suspects[f]
	suspected := s != nil && len(s.ends) > 0
	q.mu.Unlock()
	if suspected {
		q.Release(now, f)
	}
}

// Release forgets all ends under a request so far, here and at the others; it says whether
// there were any.
func (q *Quarantine) Release(now time.Time, f runworks.Fingerprint) bool {
	news := runworks.Suspect{Fingerprint: f, ClearedAt: now.Round(0)}
	q.mu.Lock()
	s := q.suspects[f]
	if s == nil || len(s.ends) == 0 {
		q.mu.Unlock()
		return false
	}
	record := len(s.ends) >= recordFrom
	tell := q.addLocked(now, &news)
	q.mu.Unlock()
	tell()
	if q.OnUpdate != nil {
		q.OnUpdate(news, record)
	}
	return true
}

// Apply adds what another entry or the record told.
func (q *Quarantine) Apply(now time.Time, list []runworks.Suspect) {
	for i := range list {
		q.mu.Lock()
		tell := q.addLocked(now, &list[i])
		q.mu.Unlock()
		tell()
	}
}

// Get gives what is known of a request.
func (q *Quarantine) Get(f runworks.Fingerprint) runworks.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.suspects[f]; s != nil {
		return s.tell(f)
	}
	return runworks.Suspect{Fingerprint: f}
}

// List gives all that is known of suspects, in the order of their fingerprints.
func (q *Quarantine) List(now time.Time) []runworks.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pruneLocked(now)
	out := make([]runworks.Suspect, 0, len(q.suspects))
	for f, s := range q.suspects {
		out = append(out, s.tell(f))
	}
	slices.SortFunc(out, func(a, b runworks.Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Unrecorded gives the requests of which a record of all entries lacks what is worth one: ends
// of servers, or that those it holds do not count any more.
func (q *Quarantine) Unrecorded(now time.Time, record []runworks.Suspect) []runworks.Fingerprint {
	recorded := Quarantine{Duration: q.Duration}
	recorded.Apply(now, record)
	var out []runworks.Fingerprint
	for _, s := range q.List(now) {
		there := recorded.Get(s.Fingerprint)
		ends := len(s.Exits) >= recordFrom && len(there.Exits) < len(s.Exits)
		cleared := len(there.Exits) > 0 && s.ClearedAt.After(there.ClearedAt)
		if ends || cleared {
			out = append(out, s.Fingerprint)
		}
	}
	return out
}

// Report is a suspect as operators see it.
type Report struct {
	runworks.Suspect
	// HeldMs is for how much longer it is held, in milliseconds; 0 if it may be sent.
	HeldMs int64 `json:"held_ms"`
}

// Reports gives the requests under which backend servers ended, for operators.
func (q *Quarantine) Reports(now time.Time) []Report {
	out := []Report{}
	for _, s := range q.List(now) {
		if len(s.Exits) > 0 {
			out = append(out, Report{Suspect: s, HeldMs: q.HeldFor(now, s.Fingerprint).Milliseconds()})
		}
	}
	return out
}

// Expired says whether something told of a request no longer counts.
func (q *Quarantine) Expired(now time.Time, s *runworks.Suspect) bool {
	last := s.ClearedAt
	for _, e := range s.Exits {
		last = later(last, e.At)
	}
	return now.Sub(last) > q.keep()
}

// keep is for how long a suspect is known after its last end: as long again as it is held,
// so that after it one end more is enough.
func (q *Quarantine) keep() time.Duration { return 2 * q.Duration }
