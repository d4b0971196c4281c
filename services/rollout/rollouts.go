package rollout

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/runworks/runworks"
)

const (
	// usedShare is the fraction of the allowed exposure that is used. The rest covers calls that
	// two entries count as arrived: the scheduler, and the entry that fell back from it.
	usedShare = 0.8
	// usedSlack is the fraction of the slack that entries divide. The rest is for entries that
	// restart and get their part again.
	usedSlack = 0.5
	// minCanaries is the least number of servers that get calls before the verdict: a single bad
	// server must be distinguishable from a bad version.
	minCanaries = 2
	// probeCalls is the number of calls that all entries together send before the version is known to
	// be harmless: fewer than the 50 bad answers after which a version must get no more. They go to
	// probedServers servers, as the differences between servers are what hides a slow version.
	probeCalls    = 48
	probedServers = minLevelServers
	// answeredShare of the first calls must have ended for the version to be known to be harmless.
	answeredShare = 0.9
	// probeUntil of the duration, fewer servers are enough: a service has few calls.
	probeUntil = 0.4
	// answersInTurn is the number of answers of a server after which others get calls.
	answersInTurn = 2 * minServerAnswers
	// statusMaxAge, as a fraction of RollbackAfter, is the age of the newest knowledge of the
	// status up to which the new version gets calls. The rest of that time is for the verdict, the
	// write of the status, and calls on their way.
	statusMaxAge = 0.5
	// The status is read when what is known of it is older than firstReaders or otherReaders of
	// RollbackAfter. readers entries read more often and report what they read to the others.
	readerAge = 0.15
	otherAge  = 0.3
	readers   = 2
	// writeDelay is how long each entry waits for those before it to write the status.
	writeDelay     = 400 * time.Millisecond
	maxWriteDelays = 3
	// A good version is accepted after acceptAfter of the duration with minAnswers, and after
	// acceptLate with minLateAnswers. Versions may turn bad late, and the old servers stop as soon as
	// one is accepted.
	acceptAfter    = 0.75
	minAnswers     = 60
	acceptLate     = 0.9
	minLateAnswers = 10
	// giveUpAfter of the duration, a version that could not be accepted is rolled back, so that
	// the order ends by its deadline.
	giveUpAfter = 0.96
	// capacityShare of the old servers' slots are enough to take over their calls. After
	// acceptLate, loadFactor times the highest number of running calls is enough.
	capacityShare = 0.85
	loadFactor    = 1.2
	// judgeInterval is the time between two looks at the answers: small against RollbackAfter.
	judgeInterval = 300 * time.Millisecond
	// reportInterval, or reportIntervalPerPeer for each other entry if that is longer, up to
	// maxReportInterval, is the time between two reports: 25 entries send each other 25 a second.
	reportInterval        = 400 * time.Millisecond
	reportIntervalPerPeer = 40 * time.Millisecond
	maxReportInterval     = 1500 * time.Millisecond
	// missedReports is the number of intervals after which an entry that sent no report is
	// considered unreachable.
	missedReports = 3
	// fullReportEvery is the number of reports of which one holds all counts and not just those
	// that changed.
	fullReportEvery = 8
	// terminalReports is for how long a terminal state is reported: fronts that do not receive it
	// read it from the store.
	terminalReports = 5 * time.Second
	// maxCells bounds the servers and routes that are counted of one entry.
	maxCells = 2000
)

// Rollouts decides about the roll-outs of one entry. Set the exported fields before use. It is safe
// for concurrent use.
type Rollouts struct {
	Self runworks.Incarnation
	// ExposureShare of the calls that arrive for a service, plus ExposureSlack, is the most that all
	// entries together may send to a version before it is accepted.
	ExposureShare, ExposureSlack float64
	// RollbackAfter is the time after its 50th bad answer in which a bad version may get calls.
	RollbackAfter time.Duration
	// OnStep, if not nil, is called with each step. It is called with a lock held and must not
	// block.
	OnStep func(s Step)

	// OnPlaced, if not nil, is called with each call to a version that is not accepted yet, in the
	// same way.
	OnPlaced func()

	mu     sync.Mutex
	orders map[string]*order
	fronts fronts
}

// Step is a change of how far an order is carried out, for the log.
type Step struct {
	Service, TargetVersion, Name, Reason string
	Status                               Status
}

// order is one order and what is known of it.
type order struct {
	runworks.Rollout
	// started is when the order was given; zero until known.
	started time.Time
	// state is the status for the version, empty if there was none. stored is what the store held
	// at the time confirmed; after a restore of the store it may be an earlier one.
	state     runworks.RolloutState
	stored    runworks.RolloutState
	confirmed time.Time
	endedAt   time.Time
	// verdict is the terminal state that this entry will write, and reason why.
	verdict runworks.RolloutState
	reason  string
	// wantSince is since when the state that was to be written is not written.
	wantSince time.Time
	step      string

	arrived, placed int
	tallies         map[cellKey]*tally
	spreads         [timings]spread
	judge           judge
	judgedAt        time.Time
	// probes are the calls to each server before the version was known to be harmless.
	probes map[string]int
	// comparable is set once this entry knows the times of the old version, or waited for long
	// enough. An answer before that would be one of the first calls, and tell little.
	comparable bool
	// harmless is set once nothing spoke against the version after the first calls.
	harmless bool
	reports  map[runworks.Incarnation]*peerReport

	// targets and canaries are the servers of the new version that may get calls, after and before
	// the verdict; old are those of other versions.
	targets, old []runworks.Instance
	canaries     map[string]bool
	peakLoad     int

	sent       map[cellKey]int
	sentAt     time.Time
	reportsOut int
}

// peerReport is what another entry reported.
type peerReport struct {
	at              time.Time
	arrived, placed int
	tallies         map[cellKey]*tally
}

// SetOrders replaces the orders, by service. It returns the services whose orders were taken back.
func (r *Rollouts) SetOrders(orders map[string]runworks.Rollout) (removed []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, old := range r.orders {
		now, ok := orders[service]
		if ok && now.TargetVersion == old.TargetVersion {
			old.Duration = now.Duration
			continue
		}
		if !ok {
			removed = append(removed, service)
		}
		r.stepLocked(old, "taken back", "")
		delete(r.orders, service)
	}
	for service, one := range orders {
		if r.orders[service] != nil {
			continue
		}
		if r.orders == nil {
			r.orders = make(map[string]*order)
		}
		o := &order{Rollout: one, tallies: make(map[cellKey]*tally), probes: make(map[string]int), reports: make(map[runworks.Incarnation]*peerReport)}
		r.orders[service] = o
		r.stepLocked(o, "ordered", "")
	}
	return removed
}

// Active reports whether there is an order.
func (r *Rollouts) Active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.orders) > 0
}

// SetServers replaces the list of servers.
func (r *Rollouts) SetServers(list []runworks.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.orders {
		o.targets, o.old = nil, nil
		for _, one := range list {
			switch {
			case one.Service != o.Service || one.Unavailable():
			case one.Version == o.TargetVersion:
				o.targets = append(o.targets, one)
			default:
				o.old = append(o.old, one)
			}
		}
		for i := range o.spreads {
			o.spreads[i].listed = len(o.old)
		}
		r.chooseCanariesLocked(o)
	}
}

// chooseCanariesLocked selects the servers that get calls before the verdict. They are so few that
// they get about as many calls each as the old ones, as some versions are bad under load only. All
// entries choose about the same. After answersInTurn answers the next servers have their turn.
func (r *Rollouts) chooseCanariesLocked(o *order) {
	good := make([]runworks.Instance, 0, len(o.targets))
	for _, one := range o.targets {
		if !o.judge.condemned(one.ID) {
			good = append(good, one)
		}
	}
	slices.SortFunc(good, func(a, b runworks.Instance) int {
		return cmp.Or(cmp.Compare(o.judge.answers[a.ID]/answersInTurn, o.judge.answers[b.ID]/answersInTurn), cmp.Compare(hash(a.ID), hash(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	n := max(minCanaries, int(math.Ceil(r.ExposureShare*float64(len(o.old)))))
	if !o.harmless {
		n = max(n, probedServers)
	}
	o.canaries = make(map[string]bool, n)
	for _, one := range good[:min(n, len(good))] {
		o.canaries[one.ID] = true
	}
}

func hash(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// Allows reports whether a server may get a call now. adopted is set if another entry has counted
// the call.
func (r *Rollouts) Allows(now time.Time, server *runworks.Instance, adopted bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.orders[server.Service]
	if o == nil {
		return true
	}
	target := server.Version == o.TargetVersion
	switch o.state {
	case runworks.RolloutCompleted:
		// The old servers stop at once; they are used only if there is no other.
		return target || len(o.targets) == 0
	case runworks.RolloutRolledBack:
		return !target
	case runworks.RolloutRunning:
	}
	if !target {
		return true
	}
	if o.verdict == runworks.RolloutRolledBack || !o.exposes(now, r) || !o.canaries[server.ID] {
		return false
	}
	if adopted {
		return true
	}
	if !o.harmless && (!o.comparable || !o.isNext(server.ID) || o.placed >= max(probeCalls/(r.fronts.known+1), 1)) {
		return false
	}
	return float64(o.placed)+1 <= o.allowance(r)
}

// exposes reports whether the new version gets calls at all.
func (o *order) exposes(now time.Time, r *Rollouts) bool {
	return o.state == runworks.RolloutRunning && !o.started.IsZero() && now.Before(o.started.Add(o.Duration)) &&
		now.Sub(o.confirmed) <= r.part(statusMaxAge) && o.connected(now, &r.fronts)
}

// isNext reports whether no other of the first servers got fewer calls from this entry: a slow one
// would get few, and the version would seem fast.
func (o *order) isNext(server string) bool {
	for id := range o.canaries {
		if o.probes[id] < o.probes[server] {
			return false
		}
	}
	return true
}

// part returns a fraction of RollbackAfter.
func (r *Rollouts) part(fraction float64) time.Duration {
	return time.Duration(fraction * float64(r.RollbackAfter))
}
