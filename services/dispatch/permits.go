package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/serverlimit"
)

const (
	// permitRequestTries is how many entries are asked one after the other for what they have at
	// hand of the servers' limits, and firstBorrowPause the time until the next are, if none
	// gave anything. It doubles up to lastBorrowPause: while calls press on limits, nobody has
	// any at hand, and a hundred entries ask four hundred times a second in all.
	permitRequestTries = 4
	minPermitPause     = 50 * time.Millisecond
	maxPermitPause     = time.Second
)

// PermitTransfer is what an entry asks another for: requests to a server that the other has at hand of
// its part of the server's limit, and no use for now. Without it calls that come to an entry
// with no part are refused while others have some.
type PermitTransfer struct {
	// Server is Instance.Life.
	Server string
	// Donor is the entry that is asked.
	Donor runworks.Incarnation
	// Permits is how many are asked for.
	Permits int

	service string
}

// permitRequests is how a service's calls are served with what other entries have at hand.
type permitRequests struct {
	// enabled says that there is a way to ask.
	enabled bool
	// pending says that a question is under way.
	pending bool
	// failed is how many gave nothing since the last that did or since the last pause, and
	// pause the last pause; 0 if something was given since.
	failed int
	pause  time.Duration
	// retryAt is when to ask retryAt.
	retryAt time.Time
}

// allowed says whether another entry may be asked, or is.
func (b *permitRequests) allowed(now time.Time) bool {
	return b.enabled && (b.pause == 0 || !now.Before(b.retryAt))
}

// likely says whether a call that has so many ahead may hope for a loan: the last one was
// given, or it is the first to ask again.
func (b *permitRequests) likely(now time.Time, ahead int) bool {
	return b.allowed(now) && (b.pause == 0 || ahead == 0)
}

// fail notes that an entry gave nothing; after some there is a pause.
func (b *permitRequests) fail(now time.Time) {
	b.failed++
	if b.failed < permitRequestTries {
		return
	}
	b.failed = 0
	b.pause = min(max(2*b.pause, minPermitPause), maxPermitPause)
	b.retryAt = now.Add(b.pause)
}

// TransferPermits gives away what this entry has at hand of a server's limit, unless its own calls wait
// for it; it says how many requests.
func (d *Dispatcher) TransferPermits(server string, n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[server]
	if s == nil || s.Draining {
		return 0
	}
	if of := d.services[s.Service]; of != nil && of.queue.Len() > 0 {
		return 0
	}
	return s.limit.Donate(time.Now(), n)
}

// FinishTransfer takes the answer to a question for a loan: so many requests may be sent now.
func (d *Dispatcher) FinishTransfer(transfer *PermitTransfer, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	of := d.services[transfer.service]
	if of == nil {
		return
	}
	b := &of.permitRequests
	b.pending = false
	s := d.servers[transfer.Server]
	if n <= 0 || s == nil {
		now := time.Now()
		b.fail(now)
		d.requestPermitsLocked(now, of)
		return
	}
	b.failed, b.pause = 0, 0
	s.limit.AddTransferred(n)
	d.pumpLocked(of)
	s.limit.DropTransferred()
}

// requestPermitsLocked asks another entry for requests at hand, if calls of a service wait that a
// limit alone keeps from a server.
func (d *Dispatcher) requestPermitsLocked(now time.Time, of *service) {
	b := &of.permitRequests
	if b.pending || !b.allowed(now) || of.queue.Len() == 0 {
		return
	}
	var wanted []*server
	for _, one := range of.servers {
		if one.limit.Active(now) && !one.limit.Admits(now) && of.healthy(now, one) && one.hasSlot(now, of) {
			wanted = append(wanted, one)
		}
	}
	if len(wanted) == 0 {
		return
	}
	s := wanted[rand.IntN(len(wanted))]
	lender := d.donor(s)
	if lender == "" {
		b.fail(now)
		return
	}
	b.pending = true
	d.RequestPermits(&PermitTransfer{Server: s.incarnation, Donor: lender, Permits: min(of.queue.Len(), s.Slots), service: of.name})
}

// donor gives another entry that has a part of a server's limit and was heard just now; none
// if there is none.
func (d *Dispatcher) donor(s *server) runworks.Incarnation {
	all := append(d.others(), d.Self)
	slices.SortFunc(all, func(a, b runworks.Incarnation) int {
		return cmp.Compare(rendezvousHash(s.incarnation, b), rendezvousHash(s.incarnation, a))
	})
	owners := all[:serverlimit.ShareCount(s.limit.PerSecond(), len(all))]
	owners = slices.DeleteFunc(owners, func(id runworks.Incarnation) bool {
		_, connected := d.peers[id]
		return !connected
	})
	if len(owners) == 0 {
		return ""
	}
	return owners[rand.IntN(len(owners))]
}
