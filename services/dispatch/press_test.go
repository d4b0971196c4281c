package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/runworks/runworks"
)

// A server may get limitSlack times what its limit allows in limitSpan, and limitExtra
// requests more, from all entries together, once they were told toldBefore before.
const (
	limitSlack = 1.5
	limitExtra = 5
	limitSpan  = 4 * time.Second
	toldBefore = 500 * time.Millisecond
)

// press is callers that press on servers of which some have limits, in virtual time.
type press struct {
	mu      sync.Mutex
	rng     *rand.Rand
	entries []*pressEntry
	lives   int
	servers []string
	// limits are what servers name; told is since when each entry's life was told by the
	// server itself, by life and server.
	limits map[string]float64
	told   map[string]time.Time
	// counted are the requests that count: from lives that the server had told.
	counted map[string][]time.Time
	// first is when a server named its limit first.
	first                          map[string]time.Time
	asked, served, refused, gaveUp int
	work                           sync.WaitGroup
	ctx                            context.Context
	// alone keeps entries from asking each other for loans.
	alone bool
	// full has servers turn calls away that find no slot, and shares has an entry tell the
	// others for how long it is to leave a server alone.
	full, shares bool
	pressRests
}

// pressEntry is an entry, and what the others may know of it.
type pressEntry struct {
	*Dispatcher
	name   string
	frozen bool
	// cut says that no other entry is reached.
	cut bool
	// weight is its part of the calls.
	weight float64
	end    context.CancelFunc
	heard  map[runworks.Incarnation]time.Time
}

// The figures of the calls of a press.
const (
	pressBeat    = 50 * time.Millisecond
	pressPerPeer = 2 * time.Millisecond
	pressRuns    = 200 * time.Millisecond
	pressTarget  = 600 * time.Millisecond
	pressLimit   = 4 * time.Second
	pressSilent  = 1500 * time.Millisecond
	pressWay     = time.Millisecond
)

func (p *press) start(name string, weight float64) *pressEntry {
	p.lives++
	ctx, end := context.WithCancel(p.ctx)
	e := &pressEntry{name: name, weight: weight, end: end, heard: map[runworks.Incarnation]time.Time{}}
	e.Dispatcher = &Dispatcher{Hall: "a", Self: runworks.Incarnation(fmt.Sprint(name, "#", p.lives))}
	e.SendServerNotice = func(notice runworks.ServerNotice) { p.work.Go(func() { p.tellWord(e, notice) }) }
	if !p.alone {
		e.RequestPermits = func(loan *PermitTransfer) { p.work.Go(func() { e.FinishTransfer(loan, p.lend(e, loan)) }) }
	}
	var list []runworks.Instance
	for _, id := range p.servers {
		list = append(list, runworks.Instance{ID: id, Service: "llm", Hall: "a", Slots: pressSlots})
	}
	e.SetServers(list)
	p.work.Go(func() { e.Run(ctx) })
	return e
}

func (p *press) tellWord(from *pressEntry, notice runworks.ServerNotice) {
	time.Sleep(pressWay)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, to := range p.entries {
		if to != from && from.reaches(to) {
			to.ApplyNotices(from.name, []runworks.ServerNotice{notice})
		}
	}
}

// lend asks another entry for a loan; the question and the answer take a way each.
func (p *press) lend(from *pressEntry, loan *PermitTransfer) int {
	time.Sleep(pressWay)
	p.mu.Lock()
	var lender *pressEntry
	for _, to := range p.entries {
		if to.Self == loan.Donor && from.reaches(to) {
			lender = to
		}
	}
	p.mu.Unlock()
	n := 0
	if lender != nil {
		n = lender.TransferPermits(loan.Server, loan.Permits)
	}
	time.Sleep(pressWay)
	return n
}

func (e *pressEntry) reaches(to *pressEntry) bool {
	return !e.frozen && !to.frozen && !e.cut && !to.cut
}

// beat has all entries hear each other, and notice who fell silent.
func (p *press) beat() {
	for p.ctx.Err() == nil {
		p.mu.Lock()
		now := time.Now()
		for _, from := range p.entries {
			load := from.LocalLoad()
			for _, to := range p.entries {
				if to == from || !from.reaches(to) {
					continue
				}
				if to.heard[from.Self].IsZero() {
					to.ApplyNotices(from.name, from.ServerNotices())
				}
				to.heard[from.Self] = now
				to.SetPeerLoad(from.Self, load)
			}
		}
		for _, e := range p.entries {
			for id, last := range e.heard {
				if !e.frozen && now.Sub(last) > pressSilent {
					e.MarkPeerUnreachable(id)
					delete(e.heard, id)
				}
			}
		}
		wait := max(pressBeat, time.Duration(len(p.entries))*pressPerPeer)
		p.mu.Unlock()
		time.Sleep(wait)
	}
}

// pick gives an entry by the weights; nil while it stands still.
func (p *press) pick() *pressEntry {
	sum := 0.0
	for _, e := range p.entries {
		sum += e.weight
	}
	at := p.rng.Float64() * sum
	for _, e := range p.entries {
		if at -= e.weight; at < 0 {
			if e.frozen {
				return nil
			}
			return e
		}
	}
	return nil
}

// load has calls come to the entries for a while, so many a second.
func (p *press) load(span time.Duration, perSecond float64) {
	for end := time.Now().Add(span); time.Now().Before(end); {
		p.mu.Lock()
		e := p.pick()
		p.mu.Unlock()
		if e != nil {
			p.work.Go(func() { p.call(e) })
		}
		time.Sleep(time.Duration(p.rng.ExpFloat64() / perSecond * float64(time.Second)))
	}
}

func (p *press) call(e *pressEntry) {
	p.mu.Lock()
	p.asked++
	id := fmt.Sprint("c", p.asked)
	p.mu.Unlock()
	now := time.Now()
	ask := &Request{ID: runworks.RequestID(id), Service: "llm", Target: now.Add(pressTarget), Deadline: now.Add(pressLimit)}
	lease, err := e.Acquire(p.ctx, ask)
	for err == nil && p.turnedAway(e, lease) {
		ask.Exclude = append(ask.Exclude, lease.Instance.ID)
		if len(ask.Exclude) == pressSends {
			err = runworks.ErrRejected
			break
		}
		lease, err = e.Acquire(p.ctx, ask)
	}
	p.mu.Lock()
	if err != nil {
		if errors.Is(err, runworks.ErrShortage) {
			p.refused++
		} else {
			p.gaveUp++
		}
		p.mu.Unlock()
		return
	}
	sent := time.Now()
	server := lease.Instance.ID
	key := string(e.Self) + server
	if at := p.told[key]; !at.IsZero() && sent.Sub(at) >= toldBefore {
		p.counted[server] = append(p.counted[server], sent)
	}
	p.mu.Unlock()
	time.Sleep(pressRuns)
	p.mu.Lock()
	limit, named := p.limits[server]
	if named && p.told[key].IsZero() {
		p.told[key] = time.Now()
		if p.first[server].IsZero() {
			p.first[server] = time.Now()
		}
	}
	p.served++
	p.left(server)
	p.mu.Unlock()
	lease.ApplyReport(&runworks.ServerReport{Limit: &runworks.RateLimit{Named: named, PerSecond: limit}}, sent)
	lease.Release(Served)
}

// most gives the most requests that counted in the span of a limit.
func (p *press) most(server string) int {
	most, first := 0, 0
	list := p.counted[server]
	for i, at := range list {
		for at.Sub(list[first]) > limitSpan {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// verdict says whether all limits were kept, what was used of them in the time, and how
// callers were answered.
func (p *press) verdict(t *testing.T, span time.Duration) string {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := true
	used, sum := 0, 0.0
	worst := ""
	for server, limit := range p.limits {
		most := p.most(server)
		allowed := limitSlack*limitSpan.Seconds()*limit + limitExtra
		if float64(most) > allowed {
			kept = false
			worst = fmt.Sprintf(", %s got %d of %.1f", server, most, allowed)
		}
		used += len(p.counted[server])
		sum += limit * span.Seconds()
	}
	t.Logf("asked=%d served=%.3f refused=%.3f gave-up=%.3f used=%.3f%s", p.asked, part(p.served, p.asked), part(p.refused, p.asked), part(p.gaveUp, p.asked),
		float64(used)/max(sum, 1), worst)
	out := fmt.Sprintf("kept=%t\n", kept)
	p.asked, p.served, p.refused, p.gaveUp = 0, 0, 0, 0
	p.counted = map[string][]time.Time{}
	return out
}

func part(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

// TestServerLimits presses on servers with limits in virtual time, through entries that
// start, end, stand still and are cut off.
func TestServerLimits(t *testing.T) { playPress(t, "testdata/limits") }

// playPress plays the scripts of a folder.
func playPress(t *testing.T, folder string) {
	t.Helper()
	datadriven.Walk(t, folder, func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			p := newPress(ctx)
			defer p.work.Wait()
			defer cancel()
			datadriven.RunTest(t, path, p.step)
		})
	})
}

func newPress(ctx context.Context) *press {
	return &press{
		ctx: ctx, rng: rand.New(rand.NewPCG(1, 2)), limits: map[string]float64{}, told: map[string]time.Time{},
		counted: map[string][]time.Time{}, first: map[string]time.Time{}, pressRests: newPressRests(),
	}
}

// pressArgs are the arguments of a script's line.
type pressArgs struct {
	entries, servers, limited, seconds int
	perSecond, limit, skew             float64
	names                              string
	alone, full, shares                bool
}

func readPressArgs(t *testing.T, d *datadriven.TestData) pressArgs {
	t.Helper()
	var a pressArgs
	for key, to := range map[string]any{"entries": &a.entries, "servers": &a.servers, "limited": &a.limited, "seconds": &a.seconds, "names": &a.names} {
		d.MaybeScanArgs(t, key, to)
	}
	for key, to := range map[string]*float64{"a-second": &a.perSecond, "limit": &a.limit, "skew": &a.skew} {
		var text string
		if !d.MaybeScanArgs(t, key, &text) {
			continue
		}
		if _, err := fmt.Sscan(text, to); err != nil {
			d.Fatalf(t, "%s: %v", text, err)
		}
	}
	a.alone, a.full, a.shares = d.HasArg("alone"), d.HasArg("full"), d.HasArg("shares")
	return a
}

// step runs a line of a script.
func (p *press) step(t *testing.T, d *datadriven.TestData) string {
	a := readPressArgs(t, d)
	if out, ok := p.stepRests(t, d.Cmd, &a); ok {
		return out
	}
	switch d.Cmd {
	case "site":
		p.site(&a)
	case "limit":
		p.mu.Lock()
		defer p.mu.Unlock()
		for i := range a.limited {
			p.limits[p.servers[i]] = a.limit
		}
	case "end":
		p.mu.Lock()
		defer p.mu.Unlock()
		p.limits, p.told = map[string]float64{}, map[string]time.Time{}
	case "load":
		span := time.Duration(a.seconds) * time.Second
		p.load(span, a.perSecond)
		return p.verdict(t, span)
	case "restart":
		p.chosen(a.names, p.restart)
	case "freeze", "wake":
		p.chosen(a.names, func(_ int, e *pressEntry) { e.frozen = d.Cmd == "freeze" })
	case "cut", "heal":
		p.chosen(a.names, func(_ int, e *pressEntry) { e.cut = d.Cmd == "cut" })
	default:
		t.Fatalf("no command %s", d.Cmd)
	}
	return ""
}

// site starts the entries and lets them hear each other.
func (p *press) site(a *pressArgs) {
	p.alone, p.full, p.shares = a.alone, a.full, a.shares
	for i := range a.servers {
		p.servers = append(p.servers, fmt.Sprint("s", i))
	}
	for i := range a.entries {
		p.entries = append(p.entries, p.start(fmt.Sprint("e", i), 1+a.skew*float64(i)))
	}
	p.work.Go(p.beat)
	time.Sleep(time.Second)
}

// chosen does something with the entries of some names.
func (p *press) chosen(names string, do func(i int, e *pressEntry)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, e := range p.entries {
		if names == "all" || strings.Contains(","+names+",", ","+e.name+",") {
			do(i, e)
		}
	}
}

// restart begins a new life of an entry, which all others notice at once.
func (p *press) restart(i int, e *pressEntry) {
	e.end()
	p.entries[i] = p.start(e.name, e.weight)
	for _, other := range p.entries {
		delete(other.heard, e.Self)
		other.RemovePeer(e.Self)
	}
}
