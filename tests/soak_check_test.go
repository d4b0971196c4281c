package tests

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/runworks/runworks/standin"
)

const (
	// soakCallers is the number of concurrent callers; each sends one call at a time.
	soakCallers = 12
	// soakMaxRuns is how often a call may run at the two servers that maxAttempts allows.
	soakMaxRuns = 4
	// soakRanAt precedes the server in a line about a call that ran.
	soakRanAt = " at "
	// soakTimeout is the callers' timeout.
	soakTimeout = 4 * time.Second
	// soakServedRatio is the share of calls that must be served once all faults are over.
	soakServedRatio = 0.95
	// soakApplyDelay is how long a change of the document may take to be active at all fronts
	// once all faults are over.
	soakApplyDelay = 2 * time.Second
)

// errNotSent is the error of a call of which no byte was sent.
var errNotSent = errors.New("not sent")

// soakCall is a call and its result.
type soakCall struct {
	platformCall
	events     int
	repeatable bool
	// leaveAfter is the number of events after which the caller leaves; 0 if it stays.
	leaveAfter int
	// half is set if the caller closes its sending side after the request. Fronts take that for the end of the caller.
	half bool
	// timeout is that of its caller; 0 for soakTimeout.
	timeout time.Duration
	// crashes is set if the call crashes the server that starts to run it.
	crashes bool
	front   string
	// process is the front process that the call was sent to, and address where its callers reach it.
	process     *process
	address     string
	sent, ended time.Time
	status      int
	data        []byte
	retryAfter  bool
	// returnAfter is the time in Retry-After, and first the refused call that this one follows.
	returnAfter time.Duration
	first       *soakCall
	// draining is set if the response reports that its server drains.
	draining bool
	err      error
}

// soakClients are the callers of a soak; each reuses its connection until it is closed by the
// front.
type soakClients struct {
	mu    sync.Mutex
	calls []*soakCall
	quit  chan struct{}
	wg    sync.WaitGroup
}

func (c *soakClients) start(s *soak) {
	c.quit = make(chan struct{})
	lanes := soakCallers + soakLoadCallers
	switch {
	case s.contends():
		lanes += soakBurstCallers
	case s.crashesServers():
		lanes += soakCrashCallers
	}
	c.wg.Go(func() { s.runLeavingCallers(c.quit) })
	s.startOrderCallers()
	s.startHalfCallers()
	s.startForeignCallers()
	for lane := range lanes {
		next, pause := s.nextCall, time.Duration(0)
		switch {
		case lane >= soakCallers+soakLoadCallers && s.crashesServers():
			next, pause = s.nextCrashCall, soakCrashPause
		case lane >= soakCallers+soakLoadCallers:
			next, pause = s.nextBurstCall, soakBurstPause
		case lane >= soakCallers:
			next, pause = s.nextLoadCall, soakLoadPause
		}
		rng := rand.New(rand.NewPCG(uint64(s.seed), uint64(lane)+1))
		c.wg.Go(func() {
			transport := newSoakTransport()
			defer func() { transport.CloseIdleConnections() }()
			for i := 0; ; i++ {
				if used := transport; s.moves() {
					c.wg.Go(func() { s.keepIdle(c.quit, used) })
					transport = newSoakTransport()
				}
				select {
				case <-c.quit:
					return
				default:
				}
				call := next(rng, lane, i)
				if call == nil {
					s.wait(20 * time.Millisecond)
					continue
				}
				c.send(call, transport)
				if again, after := call.again(); s.contends() && again != nil {
					s.wait(after)
					c.send(again, transport)
				}
				if call.status != http.StatusOK {
					s.wait(20 * time.Millisecond) // limits the rate of retries
				}
				s.wait(pause)
			}
		})
	}
}

func newSoakTransport() *http.Transport {
	return &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
}

// send sends a call and keeps it for the checks.
func (c *soakClients) send(call *soakCall, transport http.RoundTripper) {
	call.send(transport)
	c.mu.Lock()
	c.calls = append(c.calls, call)
	c.mu.Unlock()
}

func (c *soakClients) stop() {
	close(c.quit)
	c.wg.Wait()
}

// nextCall draws a call: its kind, its key, and the front, which a caller keeps for a while, and
// replaces by the next one if it has exited.
func (s *soak) nextCall(rng *rand.Rand, lane, i int) *soakCall {
	kind := platformTargets[rng.IntN(len(platformTargets))]
	front := s.fronts[(lane+i/20)%len(s.fronts)]
	if process := front.process.Load(); process.ended() {
		front = s.fronts[(lane+i/20+1)%len(s.fronts)]
	}
	front = s.movedFront(rng, front)
	c := &soakCall{front: front.name, process: front.process.Load(), events: kind.events}
	c.address = s.callerAddress(rng, front, c.process)
	c.platformCall = platformCall{id: fmt.Sprintf("s%d-%d-%d", s.seed, lane, i), method: kind.method, key: kind.key}
	c.target = fmt.Sprintf(kind.target, lane*100000+i)
	c.repeatable = strings.HasPrefix(c.target, "/safe/") || strings.HasPrefix(c.target, "/open/") || strings.HasPrefix(c.target, "/chat/long/")
	if kind.key != "" {
		switch rng.IntN(10) {
		case 0:
			c.key = "never-a-key"
		case 1, 2:
			s.mu.Lock()
			c.key = fmt.Sprint("turn-", max(s.version-rng.IntN(4), 0))
			s.mu.Unlock()
		}
	}
	if c.method == http.MethodPost {
		c.body = bytes.Repeat([]byte{byte(i)}, rng.IntN(12000))
	}
	if s.crashesServers() && c.events > 0 {
		c.setParts("base", fmt.Sprint("subject-", i%5))
	}
	return c
}

// send sends the call and records its result.
func (c *soakCall) send(transport http.RoundTripper) {
	if f, ok := transport.(*foreignCaller); ok && f.old && c.process != nil {
		c.address = c.process.address("callers") // on a path that closes connections, a response of HTTP/1.0 looks complete
	}
	timeout := cmp.Or(c.timeout, soakTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := c.request(ctx, c.address, timeout)
	if err != nil {
		c.err = errors.Join(errNotSent, err)
		return
	}
	c.sent = time.Now()
	defer func() { c.ended = time.Now() }()
	res, err := transport.RoundTrip(req)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = res.Body.Close() }()
	c.status = res.StatusCode
	c.retryAfter = res.Header.Get("Retry-After") != ""
	if seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		c.returnAfter = time.Duration(seconds * float64(time.Second))
	}
	c.draining = res.Header.Get(standin.HeaderRoutedDraining) != ""
	c.data, c.err = c.read(res.Body)
}

// expected returns the complete response that the call has to get.
func (c *soakCall) expected() []byte {
	if c.events == 0 {
		return standin.RoutedResponseBody(c.id, c.method, c.target, c.body)
	}
	var out []byte
	for n := 1; n <= c.events; n++ {
		out = append(out, standin.RoutedEvent(c.target, n)...)
	}
	return out
}

// ranLines returns the lines of a backend server's output about calls that it ran.
func ranLines(output string) []string {
	var out []string
	for _, line := range strings.Split(output, "\n") {
		if strings.HasPrefix(line, "ran ") {
			out = append(out, line)
		}
	}
	return out
}

// runID returns the ID of the call of such a line.
func runID(line string) string {
	id, _, _ := strings.Cut(strings.TrimPrefix(line, "ran "), " ")
	return id
}

// runs returns the calls that the backend servers ran, by id, each line with the ID of the server that ran it, and
// checks that none ran new calls once it had drained.
func (s *soak) runs() map[string][]string {
	out := map[string][]string{}
	for _, server := range s.servers {
		for _, inc := range server.incarnations {
			lines := ranLines(inc.outputText())
			for _, line := range lines {
				id := runID(line)
				out[id] = append(out[id], line+soakRanAt+inc.id)
			}
			// A front that was paused or cut off learns later that the server drains.
			if s.planned && inc.ranAtDrain >= 0 && len(lines) > inc.ranAtDrain {
				s.t.Errorf("%s ran %d calls more than %s after it was set to draining", inc.id, len(lines)-inc.ranAtDrain, soakDrainBound)
			}
		}
	}
	return out
}

// check compares what callers and servers saw with what is guaranteed.
func (s *soak) check(calm, after time.Time) {
	runs := s.runs()
	s.removeLeaving(runs)
	s.checkStreams(runs)
	kinds, halves := map[string]int{}, map[string]int{}
	s.checkCrashes(runs)
	for _, c := range s.clients.calls {
		if c.half {
			halves[c.outcome()]++
		}
		kinds[c.outcome()]++
		s.checkRuns(c, runs[c.id])
		s.checkStatus(c, runs[c.id])
		s.checkAnswer(c)
		// With contention a stream may start too late to end within its caller's timeout, which the
		// front applies too.
		late := s.contends() && (errors.Is(c.err, context.DeadlineExceeded) || c.ended.Sub(c.sent) >= soakTimeout)
		if s.planned && !s.crashesServers() && !late && len(runs[c.id]) > 0 && (c.status == 0 || c.err != nil) {
			s.t.Errorf("%s at %s was cut by planned work: %v, %d bytes, sent at %.2f s, ended after %s", c.id, c.front, c.err, len(c.data), c.sent.Sub(s.began).Seconds(), c.ended.Sub(c.sent))
		}
		delete(runs, c.id)
	}
	for id, lines := range runs {
		s.t.Errorf("%s ran, and no caller sent it: %q", id, lines)
	}
	s.checkCalm(calm, after)
	s.checkLimit()
	s.checkStarvation()
	s.checkMoves()
	s.checkServerLimits()
	s.checkReports()
	s.checkVersions()
	s.checkVersionOrder()
	s.checkProcesses()
	s.checkGone()
	s.checkDecoy()
	s.logOrder()
	s.t.Logf("planned %t, %d calls: %v, of callers that close their sending side: %v", s.planned, len(s.clients.calls), kinds, halves)
}

// checkCalm checks that calls are served and the newest document is active once all faults are
// over.
func (s *soak) checkCalm(calm, after time.Time) {
	served, asked := 0, 0
	for _, c := range s.clients.calls {
		allowed := s.allowedNow(c)
		if c.sent.After(after) && allowed && c.key != keyBusy && !c.crashes && !c.half {
			asked++
			if s.served(c) {
				served++
			}
		}
		if c.sent.After(calm.Add(soakApplyDelay)) && c.err == nil && (c.status == http.StatusUnauthorized) == allowed {
			s.t.Errorf("%s with key %q got %d after all faults were over; document %d", c.id, c.key, c.status, s.version)
		}
	}
	if asked == 0 || float64(served) < soakServedRatio*float64(asked) {
		s.t.Errorf("%d of %d calls were served after all faults were over", served, asked)
	}
}

// served reports whether a call that was sent after all faults was served. One whose response nothing shows to be whole was, if its
// servers may still send neither a length nor chunks then.
func (s *soak) served(c *soakCall) bool {
	return c.status == http.StatusOK && c.err == nil || !s.platformOnly() && c.arrivedUnproven()
}

func (c *soakCall) outcome() string {
	switch {
	case errors.Is(c.err, errNotSent) || c.status == 0:
		return "no answer"
	case c.err != nil:
		return "cut"
	}
	return fmt.Sprint(c.status)
}

// allowedNow reports whether the newest document allows the call.
func (s *soak) allowedNow(c *soakCall) bool {
	return c.key == "" || soakCustomers[c.key] != "" || c.key == fmt.Sprint("turn-", s.version) || c.key == fmt.Sprint("turn-", s.version-1)
}

// checkRuns checks what ran of a call: as it was sent, for its customer, at most as often as its kind allows, and at
// no more than two servers. A server that ended a resumable stream may be asked for the rest, and so run it again; one that
// has exited and restarted under its ID is still one, as a run at a server that ended need not count.
func (s *soak) checkRuns(c *soakCall, ran []string) {
	want := fmt.Sprintf("ran %s %s %s ", c.id, c.method, c.target)
	customer := `""`
	if c.key != "" {
		customer = `"yard"`
	}
	if name := soakCustomers[c.key]; name != "" {
		customer = strconv.Quote(name)
	}
	want += fmt.Sprintf("%s %x", customer, sha256.Sum256(c.body))
	servers := map[string]bool{}
	for _, line := range ran {
		line, server, _ := strings.Cut(line, soakRanAt)
		servers[server] = true
		if line != want {
			s.t.Errorf("%s was changed on its way: %q, not %q", c.id, line, want)
		}
	}
	if len(ran) > 1 && !c.repeatable || len(servers) > 2 || len(ran) > soakMaxRuns {
		s.t.Errorf("%s ran %d times: %q", c.id, len(ran), ran)
	}
	if len(ran) > 0 && c.key != "" && soakCustomers[c.key] == "" && !s.keys[c.key] {
		s.t.Errorf("%s ran with a key that no document held", c.id)
	}
}

// checkStatus checks that the status is consistent with what ran.
func (s *soak) checkStatus(c *soakCall, ran []string) {
	switch c.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(ran) > 0 {
			s.t.Errorf("%s ran but its response says that it did not (%d): %q", c.id, c.status, ran)
		}
		if c.err == nil && !c.retryAfter {
			s.t.Errorf("%s got no Retry-After (%d)", c.id, c.status)
		}
	case http.StatusNotFound:
		s.t.Errorf("%s was refused with %d by %s at %s, sent at %.2f s: %.200q", c.id, c.status, c.front, c.address, c.sent.Sub(s.began).Seconds(), c.data)
	case http.StatusUnauthorized:
		if c.key == "" || soakCustomers[c.key] != "" {
			s.t.Errorf("%s with key %q was refused with %d", c.id, c.key, c.status)
		}
	}
}

// checkAnswer checks that a successful response is the call's own and complete, or recognizably
// broken off.
func (s *soak) checkAnswer(c *soakCall) {
	if c.status != http.StatusOK {
		return
	}
	if c.err == nil && !bytes.Equal(c.data, c.expected()) {
		early := bytes.HasPrefix(c.expected(), c.data)
		switch {
		case c.events > 0 && early:
			s.orderCases = append(s.orderCases, orderEarly)
		case c.events > 0:
			s.orderCases = append(s.orderCases, orderForeign)
		}
		s.t.Errorf("%s got a wrong response that looks complete: %q", c.id, c.data)
	}
	if c.err != nil && c.events > 0 && !bytes.HasPrefix(c.expected(), c.data) {
		s.t.Errorf("%s got events other than the first of its own stream: %q", c.id, c.data)
	}
}

// checkProcesses checks that no front exited unexpectedly or logged a panic.
func (s *soak) checkProcesses() {
	for _, what := range s.unexpected {
		s.t.Error(what)
	}
	for _, f := range s.fronts {
		p := f.process.Load()
		if p.ended() {
			s.t.Errorf("%s is not running at the end", f.name)
		}
		if text := p.outputText(); strings.Contains(text, "panic") {
			s.t.Errorf("%s panicked", f.name)
		}
	}
}

// soakControl is the client for processes that may be paused.
var soakControl = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// readyStatus returns the status of a front's readiness check, as the balancer requests it; 0
// without a response.
func readyStatus(front *process) int {
	res, err := soakControl.Get("http://" + front.address("balancer") + "/-/ready")
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// trySetFaults sets the faults of a stand-in; errors are ignored, as it may be paused.
func trySetFaults(of *process, faults any) {
	data, err := json.Marshal(faults)
	if err != nil {
		return
	}
	if res, err := soakControl.Post("http://"+of.address("standin")+"/control", "application/json", bytes.NewReader(data)); err == nil {
		_ = res.Body.Close()
	}
}

// errorRecorder records the errors that a check reports.
type errorRecorder struct {
	testing.TB
	errs []string
}

// Errorf implements testing.TB.
func (c *errorRecorder) Errorf(format string, args ...any) {
	c.errs = append(c.errs, fmt.Sprintf(format, args...))
}

// TestSoakChecks checks that the soak's checks report each kind of violation, and nothing for a
// correct call.
func TestSoakChecks(t *testing.T) {
	good := func() *soakCall {
		c := &soakCall{status: http.StatusOK}
		c.platformCall = platformCall{id: "c", method: http.MethodPost, target: "/once/1", key: "yard-key", body: []byte("x")}
		c.data = c.expected()
		return c
	}
	ran := func(c *soakCall) string {
		return fmt.Sprintf("ran %s %s %s \"yard\" %x", c.id, c.method, c.target, sha256.Sum256(c.body))
	}
	stream := func(c *soakCall) {
		c.target, c.events = "/chat/1?events=3", 3
		c.data = c.expected()
	}
	cases := []struct {
		name  string
		seen  func(c *soakCall) []string
		wrong bool
	}{
		{"as promised", func(c *soakCall) []string { return []string{ran(c)} }, false},
		{"cut and visibly so", func(c *soakCall) []string {
			stream(c)
			c.data, c.err = c.data[:10], errors.New("cut")
			return []string{ran(c)}
		}, false},
		{"twice", func(c *soakCall) []string { return []string{ran(c), ran(c)} }, true},
		{"again at the server that ended it", func(c *soakCall) []string {
			c.repeatable = true
			return []string{ran(c) + " at a", ran(c) + " at a", ran(c) + " at b"}
		}, false},
		{"at three servers", func(c *soakCall) []string {
			c.repeatable = true
			return []string{ran(c) + " at a", ran(c) + " at b", ran(c) + " at c"}
		}, true},
		{"too often", func(c *soakCall) []string {
			c.repeatable = true
			return slices.Repeat([]string{ran(c) + " at a"}, soakMaxRuns+1)
		}, true},
		{"another target", func(c *soakCall) []string {
			line := ran(c)
			c.target = "/once/2"
			c.data = c.expected()
			return []string{line}
		}, true},
		{"the wrong customer", func(c *soakCall) []string { return []string{strings.Replace(ran(c), "yard", "small", 1)} }, true},
		{"an unknown key", func(c *soakCall) []string {
			c.key = "never-a-key"
			return []string{ran(c)}
		}, true},
		{"ran with a status of calls not run", func(c *soakCall) []string {
			c.status, c.retryAfter = http.StatusServiceUnavailable, true
			return []string{ran(c)}
		}, true},
		{"no Retry-After", func(c *soakCall) []string {
			c.status = http.StatusServiceUnavailable
			return nil
		}, true},
		{"refused though allowed", func(c *soakCall) []string {
			c.status = http.StatusUnauthorized
			return nil
		}, true},
		{"half a response that looks complete", func(c *soakCall) []string {
			c.data = c.data[:len(c.data)/2]
			return []string{ran(c)}
		}, true},
		{"an event twice", func(c *soakCall) []string {
			stream(c)
			c.data, c.err = append(standin.RoutedEvent(c.target, 1), standin.RoutedEvent(c.target, 1)...), errors.New("cut")
			return []string{ran(c)}
		}, true},
	}
	for _, one := range cases {
		caught := &errorRecorder{TB: t}
		s := &soak{platformSite: &platformSite{site: &site{t: caught}}, keys: map[string]bool{}}
		c := good()
		lines := one.seen(c)
		s.checkRuns(c, lines)
		s.checkStatus(c, lines)
		s.checkAnswer(c)
		if (len(caught.errs) > 0) != one.wrong {
			t.Errorf("%s: %q", one.name, caught.errs)
		}
	}
}
