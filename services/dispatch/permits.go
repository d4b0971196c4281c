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
	// borrowTries is how many entries are asked one after the other for what they have at
	// hand of the servers' limits, and firstBorrowPause the time until the next are, if none
	// gave anything. It doubles up to lastBorrowPause: while calls press on limits, nobody has
	// any at hand, and a hundred entries ask four hundred times a second in all.
	borrowTries      = 4
	firstBorrowPause = 50 * time.Millisecond
	lastBorrowPause  = time.Second
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

// borrowing is how a service's calls are served with what other entries have at hand.
type borrowing struct {
	// on says that there is a way to ask.
	on bool
	// asking says that a question is under way.
	asking bool
	// failed is how many gave nothing since the last that did or since the last pause, and
	// pause the last pause; 0 if something was given since.
	failed int
	pause  time.Duration
	// again is when to ask again.
	again time.Time
}

// open says whether another entry may be asked, or is.
func (b *borrowing) open(now time.Time) bool {
	return b.on && (b.pause == 0 || !now.Before(b.again))
}

// likely says whether a call that has so many ahead may hope for a loan: the last one was
// given, or it is the first to ask again.
func (b *borrowing) likely(now time.Time, ahead int) bool {
	return b.open(now) && (b.pause == 0 || ahead == 0)
}

// fail notes that an entry gave nothing; after some there is a pause.
func (b *borrowing) fail(now time.Time) {
	b.failed++
	if b.failed < borrowTries {
		return
	}
	b.failed = 0
	b.pause = min(max(2*b.pause, firstBorrowPause), lastBorrowPause)
	b.again = now.Add(b.pause)
}

// TransferPermits gives away what this entry has at hand of a server's limit, unless its own calls wait
// for it; it says how many requests.
func (d *Dispatcher) TransferPermits(server string, requests int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[server]
	if s == nil || s.Draining {
		return 0
	}
	if of := d.services[s.Service]; of != nil && of.queue.Len() > 0 {
		return 0
	}
	return s.limit.Donate(time.Now(), requests)
}

// FinishTransfer takes the answer to a question for a loan: so many requests may be sent now.
func (d *Dispatcher) FinishTransfer(loan *PermitTransfer, requests int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	of := d.services[loan.service]
	if of == nil {
		return
	}
	b := &of.permitRequests
	b.asking = false
	s := d.servers[loan.Server]
	if requests <= 0 || s == nil {
		now := time.Now()
		b.fail(now)
		d.borrowLocked(now, of)
		return
	}
	b.failed, b.pause = 0, 0
	s.limit.AddTransferred(requests)
	d.pumpLocked(of)
	s.limit.DropTransferred()
}

// borrowLocked asks another entry for requests at hand, if calls of a service wait that a
// limit alone keeps from a server.
func (d *Dispatcher) borrowLocked(now time.Time, of *service) {
	b := &of.permitRequests
	if b.asking || !b.open(now) || of.queue.Len() == 0 {
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
	lender := d.lender(s)
	if lender == "" {
		b.fail(now)
		return
	}
	b.asking = true
	d.RequestPermits(&PermitTransfer{Server: s.life, Donor: lender, Permits: min(of.queue.Len(), s.Slots), service: of.name})
}

// lender gives another entry that has a part of a server's limit and was heard just now; none
// if there is none.
func (d *Dispatcher) lender(s *server) runworks.Incarnation {
	all := append(d.others(), d.Self)
	slices.SortFunc(all, func(a, b runworks.Incarnation) int {
		return cmp.Compare(rendezvousHash(s.life, b), rendezvousHash(s.life, a))
	})
	owners := all[:serverlimit.ShareCount(s.limit.PerSecond(), len(all))]
	owners = slices.DeleteFunc(owners, func(id runworks.Incarnation) bool {
		_, heard := d.peers[id]
		return !heard
	})
	if len(owners) == 0 {
		return ""
	}
	return owners[rand.IntN(len(owners))]
}
