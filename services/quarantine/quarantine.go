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
	// maxSuspects bounds the suspects that are kept. A server's exit adds as many as it had calls
	// that had just begun, about ten.
	maxSuspects = 4096
	// recordThreshold is the number of exits from which a suspect is written to the store. A
	// server's exit makes suspects of all calls that it had just begun, and nearly all are
	// cleared by their next answer.
	recordThreshold = 2
	// maxExits bounds the exits that are kept per request.
	maxExits = 16
)

// Quarantine tracks the requests under which backend servers exited, called suspects. Set the
// exported fields before use. The zero value quarantines nothing.
type Quarantine struct {
	// ExitThreshold is the number of server exits that quarantine a request; 0 quarantines none.
	ExitThreshold int
	// Duration is how long a request is quarantined after the last exit. Then it may be sent once
	// more, and one more exit quarantines it again.
	Duration time.Duration
	// OnUpdate is called with what this entry observed itself, to send to the others, and whether
	// it must be recorded in the store; it may be nil. It must not block.
	OnUpdate func(s runworks.Suspect, record bool)
	// OnQuarantine is called with a request that is quarantined from now on and for how long, and
	// OnRelease with one that no longer is a suspect. Either may be nil. They must not block.
	OnQuarantine func(s runworks.Suspect, wait time.Duration)
	OnRelease    func(runworks.Fingerprint)

	// count is the number of suspects, so that calls need no lock while there are none.
	count       atomic.Int64
	mu          sync.Mutex
	suspects    map[runworks.Fingerprint]*suspect
	answered    answers
	disconnects disconnects
}

type suspect struct {
	// exits are when each server's incarnation exited under the request.
	exits map[string]time.Time
	// lastExit is the newest of them; those up to clearedAt do not count.
	lastExit, clearedAt time.Time
}

// Empty reports whether there are no suspects.
func (q *Quarantine) Empty() bool { return q.count.Load() == 0 }

// HeldFor returns for how much longer a request is quarantined; 0 if it may be sent.
func (q *Quarantine) HeldFor(now time.Time, f runworks.Fingerprint) time.Duration {
	if q.Empty() {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.heldForLocked(now, q.suspects[f])
}

func (q *Quarantine) heldForLocked(now time.Time, s *suspect) time.Duration {
	if s == nil || q.ExitThreshold == 0 || len(s.exits) < q.ExitThreshold {
		return 0
	}
	return max(q.Duration-now.Sub(s.lastExit), 0)
}

// AttributeExit attributes the exit of a backend server to a request that it had begun to run,
// unless the request was answered recently.
func (q *Quarantine) AttributeExit(now time.Time, f runworks.Fingerprint, server string) {
	q.mu.Lock()
	if q.answered.has(now, f) {
		q.mu.Unlock()
		return
	}
	// Without the monotonic clock reading, as the others receive it.
	update := runworks.Suspect{Fingerprint: f, Exits: []runworks.ServerExit{{Server: server, At: now.Round(0)}}}
	notify := q.addLocked(now, &update)
	record := len(q.suspects[f].exits) >= recordThreshold
	q.mu.Unlock()
	notify()
	if q.OnUpdate != nil {
		q.OnUpdate(update, record)
	}
}

// RecordDisconnect records that a backend server closed the connection as it began to run a
// request. A later ServerRemoved proves that the server exited.
func (q *Quarantine) RecordDisconnect(now time.Time, f runworks.Fingerprint, server string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.disconnects.add(now, f, server)
}

// ServerRemoved records that a backend server is gone though it had not announced that it would
// drain. It attributes the exit to the requests of the server's recent disconnects and returns
// them.
func (q *Quarantine) ServerRemoved(now time.Time, server string) []runworks.Fingerprint {
	q.mu.Lock()
	list := q.disconnects.take(now, server)
	q.mu.Unlock()
	for _, f := range list {
		q.AttributeExit(now, f, server)
	}
	return list
}

// RecordAnswer records that a backend server answered a request completely, and clears the
// request.
func (q *Quarantine) RecordAnswer(now time.Time, f runworks.Fingerprint) {
	q.mu.Lock()
	q.answered.add(now, f)
	s := q.suspects[f]
	hasExits := s != nil && len(s.exits) > 0
	q.mu.Unlock()
	if hasExits {
		q.Release(now, f)
	}
}

// Release clears all exits attributed to a request so far, here and at the other entries. It
// reports whether there were any.
func (q *Quarantine) Release(now time.Time, f runworks.Fingerprint) bool {
	update := runworks.Suspect{Fingerprint: f, ClearedAt: now.Round(0)}
	q.mu.Lock()
	s := q.suspects[f]
	if s == nil || len(s.exits) == 0 {
		q.mu.Unlock()
		return false
	}
	record := len(s.exits) >= recordThreshold
	notify := q.addLocked(now, &update)
	q.mu.Unlock()
	notify()
	if q.OnUpdate != nil {
		q.OnUpdate(update, record)
	}
	return true
}

// Apply adds updates from another entry or from the stored record.
func (q *Quarantine) Apply(now time.Time, list []runworks.Suspect) {
	for i := range list {
		q.mu.Lock()
		notify := q.addLocked(now, &list[i])
		q.mu.Unlock()
		notify()
	}
}

// Get returns what is known of a request.
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

// Unrecorded returns the requests for which the stored record lacks exits that must be recorded,
// or a later clearing of the exits it has.
func (q *Quarantine) Unrecorded(now time.Time, record []runworks.Suspect) []runworks.Fingerprint {
	recorded := Quarantine{Duration: q.Duration}
	recorded.Apply(now, record)
	var out []runworks.Fingerprint
	for _, s := range q.List(now) {
		other := recorded.Get(s.Fingerprint)
		exits := len(s.Exits) >= recordThreshold && len(other.Exits) < len(s.Exits)
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
	// HeldMs is for how much longer the request is quarantined, in milliseconds; 0 if it may be
	// sent.
	HeldMs int64 `json:"held_ms"`
}

// Reports returns the requests with attributed exits, for operators.
func (q *Quarantine) Reports(now time.Time) []Report {
	out := []Report{}
	for _, s := range q.List(now) {
		if len(s.Exits) > 0 {
			out = append(out, Report{Suspect: s, HeldMs: q.HeldFor(now, s.Fingerprint).Milliseconds()})
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

// retention is how long a suspect is kept after its last exit: twice the time that it is
// quarantined, so that one more exit is enough after that.
func (q *Quarantine) retention() time.Duration { return 2 * q.Duration }
