package tests

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/entry"
	"github.com/runworks/runworks/services/pick"
)

var (
	measure      = flag.Bool("measure", false, "measure the routing policies, which takes minutes")
	measureSeeds = flag.Int("measure-seeds", 3, "number of seeds over which the results are averaged")
	measureOnly  = flag.String("measure-only", "", "measure only scenarios whose deployment and name contain this text")
)

const measureTime = 5 * time.Minute

// deployment is a system of the size of a real installation; latency is that of its network.
type deployment struct {
	name    string
	engines int
	latency time.Duration
}

var deployments = []deployment{
	{"cold yard", 10, 500 * time.Microsecond},
	{"newsroom", 12, 1500 * time.Microsecond},
}

// policy is a routing policy; reserve is the number of slots reserved for the top tier on each
// engine.
type policy struct {
	name    string
	picker  func(*rand.Rand) runworks.Picker
	reserve int
}

// pushPicker is a baseline without late binding: it places one reservation, at the agent that pick
// chooses.
type pushPicker struct {
	pick func(candidates []runworks.Candidate) int
}

// Pick implements runworks.Picker.
func (p *pushPicker) Pick(_ *runworks.Request, c []runworks.Candidate) int { return p.pick(c) }

// Spread implements runworks.Picker.
func (*pushPicker) Spread() bool { return false }

func reportedLoad(c *runworks.Candidate) float64 {
	return float64(c.Running+c.Waiting) / float64(max(c.Slots, 1))
}

func estimatedLoad(c *runworks.Candidate) float64 {
	return float64(c.Running+c.Waiting+c.SentSinceReport+1) / (c.Speed * float64(max(c.Slots, 1)))
}

func least(random *rand.Rand, c []runworks.Candidate, load func(*runworks.Candidate) float64) int {
	best := random.IntN(len(c))
	for i := range c {
		if load(&c[i]) < load(&c[best]) {
			best = i
		}
	}
	return best
}

func pushPolicy(choose func(*rand.Rand, []runworks.Candidate) int) func(*rand.Rand) runworks.Picker {
	return func(random *rand.Rand) runworks.Picker {
		return &pushPicker{pick: func(c []runworks.Candidate) int { return choose(random, c) }}
	}
}

func lateBinding(*rand.Rand) runworks.Picker { return pick.LeastWork{} }

var policies = []policy{
	{"random", pushPolicy(func(r *rand.Rand, c []runworks.Candidate) int { return r.IntN(len(c)) }), 0},
	{"least reported load", pushPolicy(func(r *rand.Rand, c []runworks.Candidate) int { return least(r, c, reportedLoad) }), 0},
	{"two choices, reported", pushPolicy(func(r *rand.Rand, c []runworks.Candidate) int {
		i, j := r.IntN(len(c)), r.IntN(len(c))
		if reportedLoad(&c[j]) < reportedLoad(&c[i]) {
			return j
		}
		return i
	}), 0},
	{"least reported + own sends", pushPolicy(func(r *rand.Rand, c []runworks.Candidate) int { return least(r, c, estimatedLoad) }), 0},
	{"late binding", lateBinding, 0},
	{"late binding, 1 reserved", lateBinding, 1},
}

// scenario is a load, as a fraction of the capacity of the engines, and an optional fault.
type scenario struct {
	name  string
	load  float64
	fault func(w *simCluster)
}

var scenarios = []scenario{
	{"0.5", 0.5, nil},
	{"0.7", 0.7, nil},
	{"0.9", 0.9, nil},
	{"1.1", 1.1, nil},
	{"1.5", 1.5, nil},
	{"0.9, an engine at a tenth", 0.9, func(w *simCluster) { w.fakes["e1"].setSlow(10) }},
	{"0.7, an agent killed", 0.7, func(w *simCluster) { w.killAgent("e1") }},
	{"0.7, an entry killed", 0.7, func(w *simCluster) { w.killEntry("entry-2") }},
	{"0.7, a hall cut off for 20s", 0.7, func(w *simCluster) {
		for _, server := range []string{"e1", "e2", "e3"} {
			for _, name := range []string{"entry-1", "entry-2"} {
				w.cutFor(name, "host-"+server, 20*time.Second)
			}
		}
	}},
	{"0.9, the platform out", 0.9, func(w *simCluster) {
		for _, host := range []string{"entry-1", "entry-2", "host-e1", "host-e2"} {
			w.net.Partition(host, "platform")
		}
	}},
}

// fakeEngine is a backend that takes the time which a request's tokens need at its rates.
type fakeEngine struct {
	speed float64
	mu    sync.Mutex
	slow  float64
	// wasted and prompts are prompt tokens: of cancelled requests, and of all.
	wasted, prompts int
}

const (
	prefillRate = 8000.0 // prompt tokens per second at speed 1
	decodeRate  = 80.0   // answer tokens per second and slot at speed 1
)

func (f *fakeEngine) setSlow(factor float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slow = factor
}

// wait blocks for the time that tokens take at a rate in tokens per second.
func (f *fakeEngine) wait(ctx context.Context, tokens, rate float64) error {
	f.mu.Lock()
	d := time.Duration(tokens / (rate * f.speed) * max(f.slow, 1) * float64(time.Second))
	f.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return runworks.ErrBackend
	case <-timer.C:
		return nil
	}
}

// Do implements runworks.Backend. The call's body holds the numbers of prompt and answer tokens.
func (f *fakeEngine) Do(ctx context.Context, _ runworks.RequestID, call *runworks.Call) (*runworks.Reply, error) {
	var prompt, answer int
	if _, err := fmt.Sscan(string(call.Body), &prompt, &answer); err != nil {
		return nil, runworks.ErrBackend
	}
	f.mu.Lock()
	f.prompts += prompt
	f.mu.Unlock()
	if err := f.wait(ctx, float64(prompt), prefillRate); err != nil {
		f.addWasted(prompt)
		return nil, err
	}
	body := &fakeBody{engine: f, ctx: ctx, prompt: prompt, answer: answer}
	return &runworks.Reply{Status: http.StatusOK, Header: http.Header{}, Body: body}, nil
}

// Resume implements runworks.Backend.
func (*fakeEngine) Resume(context.Context, runworks.RequestID, int64) (*runworks.Reply, error) {
	return nil, runworks.ErrGone
}

// Cancel implements runworks.Backend. The context of Do already cancels the request.
func (*fakeEngine) Cancel(context.Context, runworks.RequestID) {}

func (f *fakeEngine) addWasted(prompt int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wasted += prompt
}

// fakeBody is an answer that arrives once its tokens are decoded.
type fakeBody struct {
	engine         *fakeEngine
	ctx            context.Context
	prompt, answer int
	done           bool
}

// Read implements io.Reader.
func (b *fakeBody) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	b.done = true
	if err := b.engine.wait(b.ctx, float64(b.answer), decodeRate); err != nil {
		b.engine.addWasted(b.prompt)
		return 0, err
	}
	return copy(p, "whole"), nil
}

// Close implements io.Closer.
func (*fakeBody) Close() error { return nil }

// tierFigures holds the results of one tier.
type tierFigures struct {
	offered, good, shed, late, broken int
	firstByte                         []time.Duration
}

// figures holds the results of a run.
type figures struct {
	mu              sync.Mutex
	tiers           [2]tierFigures
	wasted, prompts int
}

// add adds the results of another run.
func (f *figures) add(o *figures) {
	for i := range f.tiers {
		a, b := &f.tiers[i], &o.tiers[i]
		a.offered, a.good, a.shed, a.late, a.broken = a.offered+b.offered, a.good+b.good, a.shed+b.shed, a.late+b.late, a.broken+b.broken
		a.firstByte = append(a.firstByte, b.firstByte...)
	}
	f.wasted, f.prompts = f.wasted+o.wasted, f.prompts+o.prompts
}

func (t *tierFigures) goodput() float64 { return ratio(t.good, t.offered) }

func ratio(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

// percentile returns the p-th percentile of the times to the first byte, in seconds.
func (t *tierFigures) percentile(p int) float64 {
	if len(t.firstByte) == 0 {
		return 0
	}
	slices.Sort(t.firstByte)
	return t.firstByte[(len(t.firstByte)-1)*p/100].Seconds()
}

// TestMeasure prints the table of docs/design/routing.md.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("run it with: make measure")
	}
	for _, d := range deployments {
		for _, s := range scenarios {
			if strings.Contains(d.name+" "+s.name, *measureOnly) {
				measureScenario(t, d, s)
			}
		}
	}
}

func measureScenario(t *testing.T, d deployment, s scenario) {
	t.Helper()
	sums := make([]figures, len(policies))
	t.Run("runs", func(t *testing.T) {
		for i := range policies {
			for seed := range uint64(*measureSeeds) { //nolint:gosec // a small number
				t.Run("", func(t *testing.T) {
					t.Parallel()
					one := measureOnce(t, d, s, policies[i], seed)
					sums[i].mu.Lock()
					defer sums[i].mu.Unlock()
					sums[i].add(one)
				})
			}
		}
	})
	fmt.Printf("\n%s, load %s\n", d.name, s.name)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "policy\tgoodput 0\tgoodput 1\tfirst byte 0: p50\tp95\tp99\tshed 0\tshed 1\tlate 0\tlate 1\tbroken\twasted prefill")
	for i, p := range policies {
		a, b := &sums[i].tiers[0], &sums[i].tiers[1]
		_, _ = fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%.4f\n", p.name, a.goodput(), b.goodput(),
			a.percentile(50), a.percentile(95), a.percentile(99), ratio(a.shed, a.offered), ratio(b.shed, b.offered),
			ratio(a.late, a.offered), ratio(b.late, b.offered), a.broken+b.broken, ratio(sums[i].wasted, sums[i].prompts))
	}
	_ = w.Flush()
}

// measureOnce runs one load for measureTime of virtual time.
func measureOnce(t *testing.T, d deployment, s scenario, p policy, seed uint64) *figures {
	t.Helper()
	f := &figures{}
	synctest.Test(t, func(t *testing.T) {
		w := newMeasureCluster(t, d, p, seed)
		defer w.close()
		if s.fault != nil {
			w.wg.Go(func() {
				time.Sleep(measureTime / 3)
				s.fault(w)
			})
		}
		random := rand.New(rand.NewPCG(seed, 5)) //nolint:gosec // a seed is wanted
		slots := 0.0
		for _, e := range w.spec.engines {
			slots += float64(e.slots) * w.fakes[e.name].speed
		}
		perSecond := s.load * slots / meanSeconds
		var calls sync.WaitGroup
		began := time.Now()
		for i := 0; time.Since(began) < measureTime; i++ {
			rate := perSecond * 0.8
			if time.Since(began)%(30*time.Second) < 3*time.Second {
				rate = perSecond * 2.8 // for a tenth of the time, so that the mean is perSecond
			}
			time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			req, offered := measureRequest(random)
			name := []string{"entry-1", "entry-2"}[i%2]
			calls.Go(func() { f.serve(w, name, req, offered) })
		}
		calls.Wait()
		for _, e := range w.fakes {
			f.wasted += e.wasted
			f.prompts += e.prompts
		}
	})
	return f
}

func newMeasureCluster(t *testing.T, d deployment, p policy, seed uint64) *simCluster {
	t.Helper()
	fakes := map[string]*fakeEngine{}
	spec := simSpec{entries: []string{"entry-1", "entry-2"}, latency: d.latency, heartbeatInterval: time.Second}
	for i := range d.engines {
		speed := []float64{1, 0.4}[i%2]
		name := fmt.Sprintf("e%d", i+1)
		fakes[name] = &fakeEngine{speed: speed}
		spec.engines = append(spec.engines, engineSpec{name, 8, 1, speed})
	}
	spec.connect = func(server string) runworks.Backend { return fakes[server] }
	spec.picker = p.picker(rand.New(rand.NewPCG(seed, 6))) //nolint:gosec // a seed is wanted
	spec.edit = func(cfg *runworks.Config) { cfg.Tiers[0].ReservedSlots = p.reserve }
	w := newSimCluster(t, spec)
	w.fakes = fakes
	return w
}

const (
	shortPrompt, longPrompt = 160, 8000
	shortAnswer, longAnswer = 38, 3920
	shortLimit, longLimit   = 3 * time.Second, 5 * time.Minute
	// meanSeconds is the mean duration of a request at speed 1: nine short ones of 0.5 s to a long
	// one of 50 s.
	meanSeconds = 0.9*(shortPrompt/prefillRate+shortAnswer/decodeRate) + 0.1*(longPrompt/prefillRate+longAnswer/decodeRate)
)

// measureRequest returns a random request of one of five customers, two of them large. One in ten
// is about a hundred times longer. offered is the time at which the request was made.
func measureRequest(random *rand.Rand) (req *runworks.Request, offered time.Time) {
	now := time.Now()
	req = &runworks.Request{
		ID: runworks.RequestID(uuid.NewString()), Kind: runworks.KindEngine, Service: "llm", Tier: "urgent",
		Customer: []string{"a", "a", "a", "a", "b", "b", "b", "c", "d", "e"}[random.IntN(10)],
		Deadline: now.Add(shortLimit), PromptTokens: shortPrompt, MaxTokens: 4 * shortAnswer,
	}
	answer := shortAnswer
	if random.IntN(10) == 0 {
		req.Tier, req.Rank = "normal", 1
		req.Deadline, req.PromptTokens, req.MaxTokens = now.Add(longLimit), longPrompt, 4*longAnswer
		answer = longAnswer
	}
	tokens := min(int(random.ExpFloat64()*float64(answer)), req.MaxTokens)
	req.Call = runworks.Call{Method: http.MethodPost, Path: "/", Body: fmt.Appendf(nil, "%d %d", req.PromptTokens, tokens)}
	return req, now
}

// serve sends one request through an entry, or through entry-1 if that entry has been killed, as a
// load balancer would.
func (f *figures) serve(w *simCluster, name string, req *runworks.Request, offered time.Time) {
	w.mu.Lock()
	e := w.entries[name]
	if e == nil {
		e = w.entries["entry-1"]
	}
	w.mu.Unlock()
	answer, err := e.daemon.Entry.Serve(context.Background(), req)
	f.mu.Lock()
	t := &f.tiers[min(req.Rank, 1)]
	t.offered++
	if err == nil {
		t.firstByte = append(t.firstByte, time.Since(offered))
	}
	f.mu.Unlock()
	whole := false
	if err == nil {
		whole = readAll(answer)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	late := !time.Now().Before(req.Deadline)
	var failure *runworks.Failure
	switch failure, _ = err.(*runworks.Failure); { //nolint:errorlint // Serve returns a Failure
	case whole && !late:
		t.good++
	case late:
		t.late++
	case failure != nil && failure.Outcome == runworks.OutcomeNotRun:
		t.shed++
	default:
		t.broken++
	}
}

func readAll(answer *entry.Response) bool {
	defer answer.Close()
	_, err := io.Copy(io.Discard, answer)
	return err == nil && answer.Complete()
}
