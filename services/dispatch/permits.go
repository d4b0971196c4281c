package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/serverlimit"
)

const (
	// permitRequestTries is how many entries are asked for permits, one after the other, before
	// a pause. The pause starts at minPermitPause and doubles up to maxPermitPause as long as no
	// entry transfers any: under load no entry has permits to spare, and the pauses bound the
	// requests of a hundred entries to four hundred a second in all.
	permitRequestTries = 4
	minPermitPause     = 50 * time.Millisecond
	maxPermitPause     = time.Second
)

// PermitTransfer is a request to another entry for permits of a server's rate limit that it does
// not need. Without transfers, calls that arrive at an entry without a share of the limit would
// be rejected while other entries have permits left.
type PermitTransfer struct {
	// Server is the server's Instance.IncarnationID.
	Server string
	// Donor is the entry that is asked.
	Donor runworks.Incarnation
	// Permits is the number of permits requested.
	Permits int

	service string
}

// permitRequests is the state of a service's requests for permits of other entries.
type permitRequests struct {
	// enabled reports whether Dispatcher.RequestPermits is set.
	enabled bool
	// pending is set while a request is unanswered.
	pending bool
	// failed counts the requests without success since the last success or pause.
	failed int
	// pause is the length of the last pause; 0 after a success.
	pause time.Duration
	// retryAt is the end of the pause.
	retryAt time.Time
	// received is how many permits per second other entries transferred lately, as of receivedAt.
	received   float64
	receivedAt time.Time
}

// receivedSpan is the time constant in seconds of permitRequests.received.
const receivedSpan = 1.0

// receivedRate returns how many permits per second other entries transferred lately.
func (p *permitRequests) receivedRate(now time.Time) float64 {
	return p.received * math.Exp(-now.Sub(p.receivedAt).Seconds()/receivedSpan)
}

// succeed records permits that another entry transferred.
func (p *permitRequests) succeed(now time.Time, n int) {
	p.failed, p.pause = 0, 0
	p.received, p.receivedAt = p.receivedRate(now)+float64(n)/receivedSpan, now
}

// allowed reports whether another entry may be asked now.
func (p *permitRequests) allowed(now time.Time) bool {
	return p.enabled && (p.pause == 0 || !now.Before(p.retryAt))
}

// likely reports whether a call with the given number of calls ahead of it can expect a permit
// from another entry: the last request succeeded, or the call is the first to ask after a pause.
func (p *permitRequests) likely(now time.Time, ahead int) bool {
	return p.allowed(now) && (p.pause == 0 || ahead == 0)
}

// fail records a request without success and starts a pause after permitRequestTries of them.
func (p *permitRequests) fail(now time.Time) {
	p.failed++
	if p.failed < permitRequestTries {
		return
	}
	p.failed = 0
	p.pause = min(max(2*p.pause, minPermitPause), maxPermitPause)
	// The next permit may be expected within the time between two of those received lately.
	if rate := p.receivedRate(now); rate*p.pause.Seconds() > 1 {
		p.pause = max(time.Duration(float64(time.Second)/rate), minPermitPause)
	}
	p.retryAt = now.Add(p.pause)
}

// TransferPermits takes up to n permits from this entry's share of a server's rate limit, for
// another entry, and returns how many it took. It takes none while calls of this entry wait.
func (d *Dispatcher) TransferPermits(server string, n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[server]
	if s == nil || s.Draining {
		return 0
	}
	if svc := d.services[s.Service]; svc != nil && svc.queue.Len() > 0 {
		return 0
	}
	return s.limit.Donate(time.Now(), n)
}

// FinishTransfer applies the answer to a permit request: n permits may be used now, and those
// that no waiting call can use are discarded.
func (d *Dispatcher) FinishTransfer(transfer *PermitTransfer, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	svc := d.services[transfer.service]
	if svc == nil {
		return
	}
	p := &svc.permitRequests
	p.pending = false
	s := d.servers[transfer.Server]
	if n <= 0 || s == nil {
		now := time.Now()
		p.fail(now)
		d.requestPermitsLocked(now, svc)
		return
	}
	p.succeed(time.Now(), n)
	s.limit.AddTransferred(n)
	d.pumpLocked(svc)
	s.limit.DropTransferred()
}

// requestPermitsLocked asks another entry for permits if calls of a service wait and a server
// with a free slot is withheld from them only by its rate limit.
func (d *Dispatcher) requestPermitsLocked(now time.Time, svc *service) {
	p := &svc.permitRequests
	if p.pending || !p.allowed(now) || svc.queue.Len() == 0 {
		return
	}
	var wanted []*server
	for _, one := range svc.servers {
		if one.limit.Active(now) && !one.limit.Admits(now) && svc.healthy(now, one) && one.hasSlot(now, svc) {
			wanted = append(wanted, one)
		}
	}
	if len(wanted) == 0 {
		return
	}
	// The permits of the server that was asked for least lately have grown longest.
	rand.Shuffle(len(wanted), func(i, j int) { wanted[i], wanted[j] = wanted[j], wanted[i] })
	s := slices.MinFunc(wanted, func(a, b *server) int { return a.permitsAskedAt.Compare(b.permitsAskedAt) })
	s.permitsAskedAt = now
	donor := d.donor(now, s)
	if donor == "" {
		p.fail(now)
		return
	}
	p.pending = true
	d.RequestPermits(&PermitTransfer{
		Server: s.incarnation, Donor: donor, Permits: min(svc.queue.Len(), s.Slots), service: svc.name,
	})
}

// donor returns a random reachable entry that has a share of a server's rate limit, or "" if
// there is none.
func (d *Dispatcher) donor(now time.Time, s *server) runworks.Incarnation {
	all := append(d.others(), d.Self)
	slices.SortFunc(all, func(a, b runworks.Incarnation) int {
		return cmp.Compare(rendezvousHash(s.incarnation, b), rendezvousHash(s.incarnation, a))
	})
	owners := all[:serverlimit.ShareCount(s.limit.PerSecond(now), len(all))]
	owners = slices.DeleteFunc(owners, func(id runworks.Incarnation) bool {
		_, connected := d.peers[id]
		return !connected
	})
	if len(owners) == 0 {
		return ""
	}
	return owners[rand.IntN(len(owners))]
}
