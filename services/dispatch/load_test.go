package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/runworks/runworks"
)

// loadEngine is a backend server that works on a batch: each step makes a token for every
// call that is past its prompt and reads a piece of the first prompt that waits.
type loadEngine struct {
	// slow is how many times as long everything takes as at the fastest.
	slow  float64
	slots int

	mu    sync.Mutex
	batch []*loadCall
}

// The figures of a fast engine: a step, the reading of a token, the tokens that it reads
// between two steps, and the tokens that an event holds.
const (
	loadStep   = 2600 * time.Microsecond
	loadRead   = 10 * time.Microsecond
	loadChunk  = 1024
	loadStride = 6
	// loadStart is what passes before the reading of a prompt.
	loadStart = 25 * time.Millisecond
)

// run makes steps until ctx ends.
func (e *loadEngine) run(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		n := min(len(e.batch), e.slots)
		chunk := 0
		for _, c := range e.batch[:n] {
			if c.unread > 0 {
				chunk = min(c.unread, loadChunk)
				c.unread -= chunk
				break
			}
		}
		e.mu.Unlock()
		step := time.Duration(e.slow * float64(loadStep+time.Duration(chunk)*loadRead))
		time.Sleep(step)
		e.mu.Lock()
		kept := e.batch[:0]
		for i, c := range e.batch {
			if i < n && c.unread == 0 && c.token() {
				continue
			}
			kept = append(kept, c)
		}
		e.batch = kept
		e.mu.Unlock()
	}
}

func (e *loadEngine) add(c *loadCall) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch = append(e.batch, c)
}

// loadCall is a call of a load; its events are told by a channel.
type loadCall struct {
	unread, tokens, made int
	events               chan struct{}
}

// token makes a token, and says whether it was the last.
func (c *loadCall) token() bool {
	c.made++
	if c.made%loadStride == 0 || c.made == c.tokens {
		c.events <- struct{}{}
	}
	if c.made < c.tokens {
		return false
	}
	close(c.events)
	return true
}

// loadKind is a kind of call, and how its calls ended.
type loadKind struct {
	rank, prompt, events int
	perSecond, spread    float64
	target               time.Duration
	// wanted is the part of its calls that must be on time.
	wanted float64
	rng    *rand.Rand

	asked, onTime, late, paused, refused, gaveUp int
}

// load is a scripted load on some fronts.
type load struct {
	mu      sync.Mutex
	fronts  []*Dispatcher
	engines map[string]*loadEngine
	kinds   []*loadKind
	work    sync.WaitGroup
}

const (
	loadBeat     = 50 * time.Millisecond
	loadPerFront = 2 * time.Millisecond
	loadPerFar   = 5 * time.Millisecond
	loadPause    = 250 * time.Millisecond
	loadPatience = 2 * time.Second
	loadDeadline = 12 * time.Second
)

// drawn gives a size of a mean, spread as a log-normal.
func (k *loadKind) drawn(mean int, spread float64) int {
	return max(1, int(float64(mean)*math.Exp(spread*k.rng.NormFloat64()-spread*spread/2)))
}

// play lets calls come for a time.
func (l *load) play(ctx context.Context, span time.Duration) {
	var sources sync.WaitGroup
	for i, k := range l.kinds {
		sources.Go(func() {
			end := time.Now().Add(span)
			for n := 0; time.Now().Before(end); n++ {
				wait := time.Duration(k.rng.ExpFloat64() / k.perSecond * float64(time.Second))
				c := &loadCall{unread: k.drawn(k.prompt, k.spread)}
				events := k.drawn(k.events, k.spread)
				hint := k.drawn(events*loadStride, 0.5)
				l.mu.Lock()
				k.asked++
				l.mu.Unlock()
				c.tokens, c.events = events*loadStride, make(chan struct{}, events+1)
				id := fmt.Sprintf("%d-%d", i, n)
				front := l.fronts[k.rng.IntN(len(l.fronts))]
				l.work.Go(func() { l.call(ctx, front, id, k, c, hint) })
				time.Sleep(wait)
			}
		})
	}
	sources.Wait()
	l.work.Wait()
}

// tell lets all fronts hear what the others have, as heartbeats do, until ctx ends: where
// there are many, those of other halls less often.
func (l *load) tell(ctx context.Context) {
	halls := map[string]int{}
	for _, front := range l.fronts {
		halls[front.Hall]++
	}
	n, largest := len(l.fronts), 0
	for _, count := range halls {
		largest = max(largest, count)
	}
	far := 1
	if n > runworks.ManyEntriesThreshold && len(halls) > 1 {
		far = max(1, int(time.Duration(n-largest)*loadPerFar/loadBeat))
		n = largest
	}
	for i := 0; ctx.Err() == nil; i++ {
		for j, from := range l.fronts {
			load := from.LocalLoad()
			for _, to := range l.fronts {
				if to != from && (to.Hall == from.Hall || (i+j)%far == 0) {
					to.SetPeerLoad(from.Self, load)
				}
			}
		}
		time.Sleep(max(loadBeat, time.Duration(n)*loadPerFront))
	}
}

// call sends one call and notes how it ended.
func (l *load) call(ctx context.Context, front *Dispatcher, id string, k *loadKind, c *loadCall, hint int) {
	came := time.Now()
	prompt := c.unread
	lease, err := front.Acquire(ctx, &Request{
		ID: runworks.RequestID(id), Service: "llm", RouteRank: k.rank, PromptTokens: prompt, ExpectedTokens: hint,
		MaxGap: loadPause, Target: came.Add(k.target), CallerTimeout: came.Add(loadPatience), Deadline: came.Add(loadDeadline),
	})
	if err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		if errors.Is(err, runworks.ErrShortage) {
			k.refused++
		} else {
			k.gaveUp++
		}
		return
	}
	time.Sleep(loadStart)
	l.engines[lease.Instance.ID].add(c)
	var first, longest time.Duration
	last := came
	for range c.events {
		if first == 0 {
			first = time.Since(came)
			lease.RecordFirstEvent(prompt)
		} else {
			longest = max(longest, time.Since(last))
			lease.RecordEventGap(time.Since(last))
		}
		last = time.Now()
	}
	lease.RecordLength(hint, c.made/loadStride)
	lease.Release(Served)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case first > k.target:
		k.late++
	case longest > loadPause:
		k.paused++
	default:
		k.onTime++
	}
}

// TestLoad plays the loads of testdata/load in virtual time and says, for each kind of
// call, whether at least the wanted part of its calls was on time. The parts themselves
// are logged: they differ by some hundredths from run to run.
func TestLoad(t *testing.T) {
	datadriven.RunTest(t, "testdata/load", func(t *testing.T, d *datadriven.TestData) string {
		l := &load{engines: map[string]*loadEngine{}}
		var fronts, fast, slow, slots, seconds int
		halls := 1
		d.MaybeScanArgs(t, "halls", &halls)
		d.ScanArgs(t, "fronts", &fronts)
		d.ScanArgs(t, "fast", &fast)
		d.ScanArgs(t, "slow", &slow)
		d.ScanArgs(t, "slots", &slots)
		d.ScanArgs(t, "seconds", &seconds)
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			l.kinds = append(l.kinds, kindOf(t, d, line, uint64(len(l.kinds))))
		}
		synctest.Test(t, func(*testing.T) { l.simulate(halls, fronts, fast, slow, slots, time.Duration(seconds)*time.Second) })
		var out strings.Builder
		for _, k := range l.kinds {
			t.Logf("%s: %s", d.Cmd, k)
			verdict := "met"
			if k.part(k.onTime) < k.wanted {
				verdict = "not met"
			}
			fmt.Fprintf(&out, "rank=%d %s\n", k.rank, verdict)
		}
		return out.String()
	})
}

// kindOf reads a kind of call.
func kindOf(t *testing.T, d *datadriven.TestData, line string, seed uint64) *loadKind {
	k := &loadKind{rng: rand.New(rand.NewPCG(1, seed))}
	var target int
	if _, err := fmt.Sscanf(line, "rank=%d a-second=%f prompt=%d events=%d spread=%f target=%d wanted=%f",
		&k.rank, &k.perSecond, &k.prompt, &k.events, &k.spread, &target, &k.wanted); err != nil {
		d.Fatalf(t, "%s: %v", line, err)
	}
	k.target = time.Duration(target) * time.Millisecond
	return k
}

// part is a count as a part of all calls.
func (k *loadKind) part(n int) float64 { return float64(n) / float64(k.asked) }

// String implements fmt.Stringer.
func (k *loadKind) String() string {
	return fmt.Sprintf("rank=%d asked=%d on-time=%.3f late=%.3f paused=%.3f refused=%.3f gave-up=%.3f",
		k.rank, k.asked, k.part(k.onTime), k.part(k.late), k.part(k.paused), k.part(k.refused), k.part(k.gaveUp))
}

// simulate plays the load on so many engines.
func (l *load) simulate(halls, fronts, fast, slow, slots int, span time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	var list []runworks.Instance
	var running sync.WaitGroup
	for i := range fast + slow {
		e := &loadEngine{slow: 1, slots: slots}
		if i >= fast {
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
		l.fronts = append(l.fronts, d)
		running.Go(func() { d.Run(ctx) })
	}
	running.Go(func() { l.tell(ctx) })
	l.play(ctx, span)
	cancel()
	running.Wait()
}
