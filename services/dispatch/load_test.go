package dispatch

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/runworks/runworks"
)

// loadEngine simulates a backend server that processes a batch: each step generates a token for
// every call whose prompt was read, and reads a chunk of the first unread prompt.
type loadEngine struct {
	// slow is the factor by which every step takes longer than at the fastest engine.
	slow  float64
	slots int
	loadSpeed
	// changes makes the engine take changedSpeed times as long for a time now and then; nil is never.
	changes *rand.Rand
	// offset is that of the engine among the engines, and order decides which of those that end a step at
	// the same instant comes first, and of the events of a step.
	offset int
	order  *rand.Rand

	mu sync.Mutex
	// changed is the current factor of such a change.
	changed float64
	batch   []*loadCall
}

// Properties of a fast engine: the durations of a step and of reading a token, the tokens read
// between two steps, and the tokens in an event.
const (
	loadStep   = 2600 * time.Microsecond
	loadRead   = 10 * time.Microsecond
	loadChunk  = 1024
	loadStride = 6
	// loadStart is the delay before a prompt is read.
	loadStart = 25 * time.Millisecond
)

// The order of goroutines that wake at the same instant differs from run to run, and with it the placement
// of all later calls. So steps end at multiples of loadGrid, and each engine, front and call acts at an
// offset from these in nanoseconds that no other has: first engines, then fronts, then calls.
const (
	loadGrid       = 20 * time.Microsecond
	maxLoadEngines = 64
	engineOffsets  = maxLoadEngines * maxLoadEngines
	frontOffsets   = 900
	callOffset     = engineOffsets + frontOffsets
)

// run executes steps until ctx ends.
func (e *loadEngine) run(ctx context.Context) {
	var events []*loadCall
	for end := time.Now(); ctx.Err() == nil; {
		e.mu.Lock()
		n := min(len(e.batch), e.slots)
		chunk := 0
		for _, c := range e.batch[:n] {
			if c.unread > 0 {
				chunk = min(c.unread, e.chunk)
				c.unread -= chunk
				break
			}
		}
		e.mu.Unlock()
		step := time.Duration(e.slow * e.change() * float64(e.step+time.Duration(chunk)*e.read))
		end = end.Add(max(step.Round(loadGrid), loadGrid))
		time.Sleep(time.Until(end) + time.Duration(e.offset+maxLoadEngines*e.order.IntN(maxLoadEngines)))
		e.mu.Lock()
		kept := e.batch[:0]
		events = events[:0]
		for i, c := range e.batch {
			if i < n && c.unread == 0 && c.token() {
				events = append(events, c)
			}
			if !c.complete() {
				kept = append(kept, c)
			}
		}
		e.batch = kept
		e.mu.Unlock()
		e.order.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
		for _, c := range events {
			c.receive()
		}
	}
}

func (e *loadEngine) add(c *loadCall) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch = append(e.batch, c)
}

// loadCall is a call of the simulation; receive is called for each of its events.
type loadCall struct {
	unread, tokens, made int
	receive              func()
}

// token generates a token and reports whether it is the last of an event.
func (c *loadCall) token() bool {
	c.made++
	return c.made%loadStride == 0 || c.complete()
}

func (c *loadCall) complete() bool { return c.made == c.tokens }

// loadKind is a kind of call with counts of how its calls ended.
type loadKind struct {
	rank, prompt, events int
	perSecond, spread    float64
	target, deadline     time.Duration
	// required is the fraction of its calls that must be on time.
	required float64
	rng      *rand.Rand

	calls, onTime, late, stalled, refused, timedOut int
}

// loadSim simulates a scripted load on several fronts.
type loadSim struct {
	mu      sync.Mutex
	fronts  []*Dispatcher
	engines map[string]*loadEngine
	kinds   []*loadKind
	work    sync.WaitGroup
	loadSpeed
	// maxGap and callerTimeout are those of all calls.
	maxGap, callerTimeout time.Duration
	// reports is whether engines report their slowness.
	reports bool
	// scheduled is set if the first front schedules the calls of all, and the ranks are also those of
	// the customers, as where customers have none of their own.
	scheduled bool
	// thirds counts the calls that arrive in each third of the load. If moves is set, nearly all of the
	// second third come to one front, and of the last third to another.
	thirds [3]struct{ calls, served int }
	moves  bool
	began  time.Time
	span   time.Duration
	// orderSeed is the seed of the order of what happens at the same instant.
	orderSeed uint64
}

const (
	loadHeartbeat     = 50 * time.Millisecond
	loadPerFront      = 2 * time.Millisecond
	loadPerRemote     = 5 * time.Millisecond
	loadMaxGap        = 250 * time.Millisecond
	loadCallerTimeout = 2 * time.Second
	loadDeadline      = 12 * time.Second
)

// sample returns a log-normally distributed size with the given mean.
func (k *loadKind) sample(mean int, spread float64) int {
	return max(1, int(float64(mean)*math.Exp(spread*k.rng.NormFloat64()-spread*spread/2)))
}

// sleep sleeps for d, and on until the next instant of an offset.
func (l *loadSim) sleep(d time.Duration, offset int) {
	at := time.Since(l.began) + d
	time.Sleep(d + (loadGrid+time.Duration(offset)-at%loadGrid)%loadGrid)
}

// play generates calls for a span of time.
func (l *loadSim) play(ctx context.Context, span time.Duration) {
	var sources sync.WaitGroup
	l.span = span
	for i, k := range l.kinds {
		sources.Go(func() {
			end := time.Now().Add(span)
			for n := 0; time.Now().Before(end); n++ {
				wait := time.Duration(k.rng.ExpFloat64() / k.perSecond * float64(time.Second))
				c := &loadCall{unread: k.sample(k.prompt, k.spread)}
				events := k.sample(k.events, k.spread)
				hint := k.sample(events*loadStride, 0.5)
				l.mu.Lock()
				k.calls++
				l.mu.Unlock()
				c.tokens = events * loadStride
				id := fmt.Sprintf("%d-%d", i, n)
				front := l.fronts[l.pickFront(k.rng)]
				offset := callOffset + (n*len(l.kinds)+i)%(int(loadGrid)-callOffset)
				l.work.Go(func() { l.call(ctx, front, id, k, c, hint, offset) })
				time.Sleep(wait)
			}
		})
	}
	sources.Wait()
	l.work.Wait()
}

// third returns the third of the load in which a call arrives.
func (l *loadSim) third(at time.Time) int { return min(int(3*at.Sub(l.began)/l.span), 2) }

// movedFraction is the fraction of the calls that come to one front while most do.
const movedFraction = 0.9

// pickFront returns the front to which the next call comes.
func (l *loadSim) pickFront(rng *rand.Rand) int {
	if third := l.third(time.Now()); l.moves && third > 0 && rng.Float64() < movedFraction {
		return third
	}
	return rng.IntN(len(l.fronts))
}

// exchangeLoads reports the load of each front to all others at the heartbeat interval until
// ctx ends. Where there are many fronts, those of other halls receive it less often.
func (l *loadSim) exchangeLoads(ctx context.Context) {
	halls := map[string]int{}
	for _, front := range l.fronts {
		halls[front.Hall]++
	}
	n, largest := len(l.fronts), 0
	for _, count := range halls {
		largest = max(largest, count)
	}
	remoteEvery := 1
	if n > runworks.ManyEntriesThreshold && len(halls) > 1 {
		remoteEvery = max(1, int(time.Duration(n-largest)*loadPerRemote/loadHeartbeat))
		n = largest
	}
	for i := 0; ctx.Err() == nil; i++ {
		for j, from := range l.fronts {
			load := from.LocalLoad()
			for _, to := range l.fronts {
				if to != from && (to.Hall == from.Hall || (i+j)%remoteEvery == 0) {
					to.SetPeerLoad(from.Self, load)
				}
			}
		}
		interval := max(loadHeartbeat, time.Duration(n)*loadPerFront)
		if i%max(1, int(time.Second/interval)) == 0 {
			l.exchangeEstimates()
		}
		time.Sleep(interval)
	}
}

// acquire asks for a slot for a call of a front.
func (l *loadSim) acquire(ctx context.Context, front *Dispatcher, req *Request) (*Lease, error) {
	if !l.scheduled {
		return front.Acquire(ctx, req)
	}
	req.Rank = req.RouteRank
	return l.fronts[0].AcquireFor(ctx, req, front.Self)
}

// call sends one call and records how it ended.
func (l *loadSim) call(ctx context.Context, front *Dispatcher, id string, k *loadKind, c *loadCall, hint, offset int) {
	l.sleep(0, offset)
	arrived := time.Now()
	prompt := c.unread
	req := &Request{
		ID: runworks.RequestID(id), Service: "llm", RouteRank: k.rank, PromptTokens: prompt, ExpectedTokens: hint,
		MaxGap: l.maxGap, Target: arrived.Add(k.target), CallerTimeout: arrived.Add(l.callerTimeout), Deadline: arrived.Add(k.deadline),
	}
	lease, err := l.acquire(ctx, front, req)
	third := &l.thirds[l.third(arrived)]
	l.mu.Lock()
	third.calls++
	if err == nil {
		third.served++
	}
	l.mu.Unlock()
	if err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		if errors.Is(err, runworks.ErrShortage) {
			k.refused++
		} else {
			k.timedOut++
		}
		return
	}
	l.sleep(loadStart, offset)
	var first, longest time.Duration
	last := arrived
	ended := make(chan struct{})
	c.receive = func() {
		if first == 0 {
			first = time.Since(arrived)
			lease.RecordFirstEvent(prompt)
		} else {
			longest = max(longest, time.Since(last))
			lease.RecordEventGap(time.Since(last))
		}
		last = time.Now()
		if c.complete() {
			lease.RecordLength(hint, c.made/loadStride)
			lease.Release(Served)
			close(ended)
		}
	}
	engine := l.engines[lease.Instance.ID]
	engine.add(c)
	if l.reports {
		lease.ApplyReport(&runworks.ServerReport{Load: &runworks.ServerLoad{Slowness: engine.slowness()}}, arrived)
	}
	<-ended
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case first > k.target:
		k.late++
	case longest > l.maxGap:
		k.stalled++
	default:
		k.onTime++
	}
}

// TestLoad simulates the loads of testdata/load in virtual time and prints, for each kind of
// call, whether at least the required fraction of its calls was on time. The fractions are the same in
// each run, but only logged, as any change of the dispatcher moves them by some hundredths. Those of a
// load with plays are of so many simulations together, which differ in the order of what happens at the
// same instant.
func TestLoad(t *testing.T) {
	kinds := playLoads(t)
	datadriven.RunTest(t, *loadFile, func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for _, k := range kinds[d.Cmd] {
			t.Logf("%s: %s", d.Cmd, k)
			verdict := "met"
			if k.fraction(k.onTime) < k.required {
				verdict = "not met"
			}
			fmt.Fprintf(&out, "rank=%d %s\n", k.rank, verdict)
		}
		return out.String()
	})
}

// playLoads simulates all loads side by side, each as often as it says, and returns how their calls ended, by
// the name of the load.
func playLoads(t *testing.T) map[string][]*loadKind {
	kinds, plays, simulations := map[string][]*loadKind{}, map[string]int{}, map[string]func(*testing.T){}
	datadriven.RunTest(t, *loadFile, func(t *testing.T, d *datadriven.TestData) string {
		n := 1
		d.MaybeScanArgs(t, "plays", &n)
		plays[d.Cmd] = n
		for i := range n {
			l, simulate := parseLoad(t, d)
			l.orderSeed = uint64(i)
			kinds[d.Cmd] = append(kinds[d.Cmd], l.kinds...)
			simulations[fmt.Sprint(d.Cmd, "/play-", i)] = simulate
		}
		return d.Expected
	})
	t.Run("plays", func(t *testing.T) {
		for name, simulate := range simulations {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, simulate)
			})
		}
	})
	for name, n := range plays {
		kinds[name] = mergeKinds(kinds[name], len(kinds[name])/n)
	}
	return kinds
}

// parseLoad parses a load and returns it, and a function that simulates it.
func parseLoad(t *testing.T, d *datadriven.TestData) (*loadSim, func(*testing.T)) {
	l := &loadSim{
		engines: map[string]*loadEngine{}, maxGap: loadMaxGap, callerTimeout: loadCallerTimeout,
		loadSpeed: loadSpeed{step: loadStep, read: loadRead, chunk: loadChunk},
	}
	var fronts, fast, slow, slots, seconds int
	halls := 1
	d.MaybeScanArgs(t, "halls", &halls)
	d.ScanArgs(t, "fronts", &fronts)
	d.ScanArgs(t, "fast", &fast)
	d.ScanArgs(t, "slow", &slow)
	d.ScanArgs(t, "slots", &slots)
	if fast+slow > maxLoadEngines || fronts >= frontOffsets {
		d.Fatalf(t, "%d engines and %d fronts", fast+slow, fronts)
	}
	l.parseDeployment(t, d)
	d.ScanArgs(t, "seconds", &seconds)
	l.scheduled = d.HasArg("scheduled")
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		l.kinds = append(l.kinds, parseKind(t, d, line, uint64(len(l.kinds))))
	}
	return l, func(*testing.T) { l.simulate(halls, fronts, fast, slow, slots, time.Duration(seconds)*time.Second) }
}

// mergeKinds adds the counts of later plays to those of the first, which has n kinds.
func mergeKinds(all []*loadKind, n int) []*loadKind {
	sum := all[:n]
	for i, k := range all[n:] {
		first := sum[i%n]
		first.calls += k.calls
		first.onTime += k.onTime
		first.late += k.late
		first.stalled += k.stalled
		first.refused += k.refused
		first.timedOut += k.timedOut
	}
	return sum
}

// parseKind parses a kind of call.
func parseKind(t *testing.T, d *datadriven.TestData, line string, seed uint64) *loadKind {
	k := &loadKind{deadline: loadDeadline, rng: rand.New(rand.NewPCG(*loadSeed, seed))}
	var target int
	if _, err := fmt.Sscanf(line, "rank=%d a-second=%f prompt=%d events=%d spread=%f target=%d wanted=%f",
		&k.rank, &k.perSecond, &k.prompt, &k.events, &k.spread, &target, &k.required); err != nil {
		d.Fatalf(t, "%s: %v", line, err)
	}
	k.target = time.Duration(target) * time.Millisecond
	if _, deadline, ok := strings.Cut(line, "deadline="); ok {
		var err error
		if k.deadline, err = time.ParseDuration(deadline); err != nil {
			d.Fatalf(t, "%s: %v", line, err)
		}
	}
	return k
}

// fraction returns a count as a fraction of all calls.
func (k *loadKind) fraction(n int) float64 { return float64(n) / float64(k.calls) }

func (k *loadKind) String() string {
	return fmt.Sprintf("rank=%d asked=%d on-time=%.3f late=%.3f paused=%.3f refused=%.3f gave-up=%.3f",
		k.rank, k.calls, k.fraction(k.onTime), k.fraction(k.late), k.fraction(k.stalled), k.fraction(k.refused), k.fraction(k.timedOut))
}

// simulate runs the load on the given numbers of fast and slow engines.
func (l *loadSim) simulate(halls, fronts, fast, slow, slots int, span time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	l.began = time.Now()
	var list []runworks.Instance
	var running sync.WaitGroup
	for i := range fast + slow {
		e := &loadEngine{slow: 1, slots: slots, loadSpeed: l.loadSpeed, offset: i, order: l.order(i)}
		switch {
		case l.reports:
			e.slow, e.changes = loadSpeeds[i%len(loadSpeeds)], rand.New(rand.NewPCG(*loadSeed, uint64(i)))
		case i >= fast:
			e.slow = 4.4
		}
		id := fmt.Sprint("s", i)
		l.engines[id] = e
		list = append(list, runworks.Instance{ID: id, Service: "llm", Hall: fmt.Sprint(i % halls), Slots: slots})
		running.Go(func() { e.run(ctx) })
	}
	for i := range fronts {
		d := &Dispatcher{Hall: fmt.Sprint(i % halls), Self: runworks.Incarnation(fmt.Sprint("front-", i))}
		d.SetServers(list)
		shuffleServers(d, l.order(i))
		l.fronts = append(l.fronts, d)
		running.Go(func() {
			l.sleep(0, engineOffsets+1+i)
			d.Run(ctx)
		})
	}
	running.Go(func() {
		l.sleep(0, engineOffsets)
		l.exchangeLoads(ctx)
	})
	l.play(ctx, span)
	cancel()
	running.Wait()
}

// order returns the generator of the order at an engine or front.
func (l *loadSim) order(i int) *rand.Rand { return rand.New(rand.NewPCG(l.orderSeed, uint64(i))) }

// shuffleServers replaces the order of a front's servers, which is that of a map: the first of several
// that suit a call equally gets it.
func shuffleServers(d *Dispatcher, order *rand.Rand) {
	for _, s := range d.services {
		slices.SortFunc(s.all, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
		order.Shuffle(len(s.all), func(i, j int) { s.all[i], s.all[j] = s.all[j], s.all[i] })
	}
}
