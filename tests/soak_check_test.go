package tests

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/runworks/runworks/standin"
)

const (
	// soakLanes is how many callers call at once, one call after the other.
	soakLanes = 12
	// soakTimeout is what callers allow for an answer.
	soakTimeout = 4 * time.Second
	// soakServed is the part of calls that a calm system must serve.
	soakServed = 0.95
	// soakHeard is how long a change of the document may take to be in force everywhere
	// once all faults are over.
	soakHeard = 2 * time.Second
)

// errNotSent says that no byte of a call left the caller.
var errNotSent = errors.New("not sent")

// soakCall is a call of a caller and its end.
type soakCall struct {
	platformCall
	events     int
	repeatable bool
	front      string
	// life is the process that had the call.
	life        *process
	sent, ended time.Time
	status      int
	data        []byte
	retryAfter  bool
	// leaving says that by the answer its server leaves.
	leaving bool
	err     error
}

// soakClients are the callers of a soak; each keeps its connections until they are
// closed to it.
type soakClients struct {
	mu    sync.Mutex
	calls []*soakCall
	quit  chan struct{}
	work  sync.WaitGroup
}

func (c *soakClients) start(s *soak) {
	c.quit = make(chan struct{})
	for lane := range soakLanes + soakPressers {
		next, pause := s.nextCall, time.Duration(0)
		if lane >= soakLanes {
			next, pause = s.nextPress, soakPressPause
		}
		draw := rand.New(rand.NewPCG(uint64(s.seed), uint64(lane)+1))
		c.work.Go(func() {
			transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
			defer transport.CloseIdleConnections()
			for i := 0; ; i++ {
				select {
				case <-c.quit:
					return
				default:
				}
				call := next(draw, lane, i)
				call.make(transport)
				c.mu.Lock()
				c.calls = append(c.calls, call)
				c.mu.Unlock()
				if call.status != http.StatusOK {
					s.wait(20 * time.Millisecond) // callers do not storm
				}
				s.wait(pause)
			}
		})
	}
}

func (c *soakClients) stop() {
	close(c.quit)
	c.work.Wait()
}

// nextCall draws a call: its kind, its key, and the front, which a caller keeps for a
// while and leaves when it is gone or not ready.
func (s *soak) nextCall(draw *rand.Rand, lane, i int) *soakCall {
	kind := platformTargets[draw.IntN(len(platformTargets))]
	front := s.fronts[(lane+i/20)%len(s.fronts)]
	if life := front.process.Load(); life.ended() {
		front = s.fronts[(lane+i/20+1)%len(s.fronts)]
	}
	c := &soakCall{front: front.name, life: front.process.Load(), events: kind.events}
	c.platformCall = platformCall{id: fmt.Sprintf("s%d-%d-%d", s.seed, lane, i), method: kind.method, key: kind.key}
	c.target = fmt.Sprintf(kind.target, lane*100000+i)
	c.repeatable = strings.HasPrefix(c.target, "/safe/") || strings.HasPrefix(c.target, "/open/") || strings.HasPrefix(c.target, "/chat/long/")
	if kind.key != "" {
		switch draw.IntN(10) {
		case 0:
			c.key = "never-a-key"
		case 1, 2:
			s.mu.Lock()
			c.key = fmt.Sprint("turn-", max(s.version-draw.IntN(4), 0))
			s.mu.Unlock()
		}
	}
	if c.method == http.MethodPost {
		c.body = bytes.Repeat([]byte{byte(i)}, draw.IntN(12000))
	}
	return c
}

// make sends the call and notes how it ended.
func (c *soakCall) make(transport *http.Transport) {
	ctx, cancel := context.WithTimeout(context.Background(), soakTimeout)
	defer cancel()
	req, err := c.request(ctx, c.life.address("callers"), soakTimeout)
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
	c.leaving = res.Header.Get(standin.HeaderRoutedDraining) != ""
	c.data, c.err = io.ReadAll(res.Body)
}

// whole is the answer that the call has to get.
func (c *soakCall) whole() []byte {
	if c.events == 0 {
		return standin.RoutedResponseBody(c.id, c.method, c.target, c.body)
	}
	var out []byte
	for n := 1; n <= c.events; n++ {
		out = append(out, standin.RoutedEvent(c.target, n)...)
	}
	return out
}

// ranLines gives the lines in which a backend server told what it ran.
func ranLines(output string) []string {
	var out []string
	for _, line := range strings.Split(output, "\n") {
		if strings.HasPrefix(line, "ran ") {
			out = append(out, line)
		}
	}
	return out
}

// runs gives what the backend servers ran, by the call's id; and it checks that none
// ran anything new once it had left.
func (s *soak) runs() map[string][]string {
	out := map[string][]string{}
	for _, server := range s.servers {
		for _, life := range server.lives {
			lines := ranLines(life.outputText())
			for _, line := range lines {
				id, _, _ := strings.Cut(strings.TrimPrefix(line, "ran "), " ")
				out[id] = append(out[id], line)
			}
			// A front that was paused or cut off hears of it later.
			if s.planned && life.ranThen >= 0 && len(lines) > life.ranThen {
				s.t.Errorf("%s ran %d calls more than %s after it said that it leaves", life.id, len(lines)-life.ranThen, soakLeaves)
			}
		}
	}
	return out
}

// check compares what callers and servers saw with what is promised.
func (s *soak) check(calm, after time.Time) {
	runs := s.runs()
	kinds := map[string]int{}
	for _, c := range s.clients.calls {
		kinds[c.outcome()]++
		s.checkRuns(c, runs[c.id])
		s.checkStatus(c, runs[c.id])
		s.checkWhole(c)
		if s.planned && len(runs[c.id]) > 0 && (c.status == 0 || c.err != nil) {
			s.t.Errorf("%s at %s was cut by planned work: %v, %d bytes, sent at %.2f s, ended after %s", c.id, c.front, c.err, len(c.data), c.sent.Sub(s.began).Seconds(), c.ended.Sub(c.sent))
		}
		delete(runs, c.id)
	}
	for id, lines := range runs {
		s.t.Errorf("%s ran, and no caller sent it: %q", id, lines)
	}
	s.checkCalm(calm, after)
	s.checkLimit()
	s.checkServerLimits()
	s.checkWords()
	s.checkVersions()
	s.checkOrder()
	s.checkProcesses()
	s.checkTrap()
	s.t.Logf("planned %t, %d calls: %v", s.planned, len(s.clients.calls), kinds)
}

// checkCalm checks that all is served, and the newest document in force, once all
// faults are over.
func (s *soak) checkCalm(calm, after time.Time) {
	served, asked := 0, 0
	for _, c := range s.clients.calls {
		allowed := s.allowedNow(c)
		if c.sent.After(after) && allowed && c.key != keyBusy {
			asked++
			if c.status == http.StatusOK && c.err == nil {
				served++
			}
		}
		if c.sent.After(calm.Add(soakHeard)) && c.err == nil && (c.status == http.StatusUnauthorized) == allowed {
			s.t.Errorf("%s with key %q got %d in calm time; document %d", c.id, c.key, c.status, s.version)
		}
	}
	if asked == 0 || float64(served) < soakServed*float64(asked) {
		s.t.Errorf("%d of %d calls were served after all faults were over", served, asked)
	}
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

// allowedNow says whether the newest document allows the call.
func (s *soak) allowedNow(c *soakCall) bool {
	return c.key == "" || c.key == "yard-key" || c.key == keyBusy || c.key == fmt.Sprint("turn-", s.version) || c.key == fmt.Sprint("turn-", s.version-1)
}

// checkRuns checks what ran of a call: as it was sent, for its customer, and not more
// often than it may.
func (s *soak) checkRuns(c *soakCall, ran []string) {
	want := fmt.Sprintf("ran %s %s %s ", c.id, c.method, c.target)
	customer := `""`
	if c.key != "" {
		customer = `"yard"`
	}
	if c.key == keyBusy {
		customer = `"busy"`
	}
	want += fmt.Sprintf("%s %x", customer, sha256.Sum256(c.body))
	for _, line := range ran {
		if line != want {
			s.t.Errorf("%s was changed on its way: %q, not %q", c.id, line, want)
		}
	}
	if len(ran) > 1 && !c.repeatable || len(ran) > 2 {
		s.t.Errorf("%s ran %d times: %q", c.id, len(ran), ran)
	}
	if len(ran) > 0 && c.key != "" && c.key != "yard-key" && c.key != keyBusy && !s.keys[c.key] {
		s.t.Errorf("%s ran with a key that no document held", c.id)
	}
}

// checkStatus checks that the answer's status is true.
func (s *soak) checkStatus(c *soakCall, ran []string) {
	switch c.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(ran) > 0 {
			s.t.Errorf("%s was told that it did not run (%d): %q", c.id, c.status, ran)
		}
		if c.err == nil && !c.retryAfter {
			s.t.Errorf("%s was not told when to come back (%d)", c.id, c.status)
		}
	case http.StatusNotFound:
		s.t.Errorf("%s was refused with %d", c.id, c.status)
	case http.StatusUnauthorized:
		if c.key == "" || c.key == "yard-key" || c.key == keyBusy {
			s.t.Errorf("%s with key %q was refused with %d", c.id, c.key, c.status)
		}
	}
}

// checkWhole checks that a success is the call's own whole answer, or looks broken.
func (s *soak) checkWhole(c *soakCall) {
	if c.status != http.StatusOK {
		return
	}
	if c.err == nil && !bytes.Equal(c.data, c.whole()) {
		s.t.Errorf("%s got a wrong answer that looks whole: %q", c.id, c.data)
	}
	if c.err != nil && c.events > 0 && !bytes.HasPrefix(c.whole(), c.data) {
		s.t.Errorf("%s got events that are not the first of its own: %q", c.id, c.data)
	}
}

// checkProcesses looks for fronts that ended by themselves or complained of a panic.
func (s *soak) checkProcesses() {
	for _, what := range s.ends {
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

// soakControl is for calls to processes that may be paused.
var soakControl = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// readyStatus asks a front as the balancer does; 0 is no answer.
func readyStatus(front *process) int {
	res, err := soakControl.Get("http://" + front.address("balancer") + "/-/ready")
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// trySetFaults sets the faults of a stand-in, unless it is paused.
func trySetFaults(of *process, faults any) {
	data, err := json.Marshal(faults)
	if err != nil {
		return
	}
	if res, err := soakControl.Post("http://"+of.address("standin")+"/control", "application/json", bytes.NewReader(data)); err == nil {
		_ = res.Body.Close()
	}
}

// catcher gathers the errors that a check tells.
type catcher struct {
	testing.TB
	errs []string
}

// Errorf implements testing.TB.
func (c *catcher) Errorf(format string, args ...any) {
	c.errs = append(c.errs, fmt.Sprintf(format, args...))
}

// TestSoakCatches shows the soak's checks find each kind of breach, and nothing in a
// call that is as promised.
func TestSoakCatches(t *testing.T) {
	good := func() *soakCall {
		c := &soakCall{status: http.StatusOK}
		c.platformCall = platformCall{id: "c", method: http.MethodPost, target: "/once/1", key: "yard-key", body: []byte("x")}
		c.data = c.whole()
		return c
	}
	ran := func(c *soakCall) string {
		return fmt.Sprintf("ran %s %s %s \"yard\" %x", c.id, c.method, c.target, sha256.Sum256(c.body))
	}
	stream := func(c *soakCall) {
		c.target, c.events = "/chat/1?events=3", 3
		c.data = c.whole()
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
		{"another target", func(c *soakCall) []string {
			line := ran(c)
			c.target = "/once/2"
			c.data = c.whole()
			return []string{line}
		}, true},
		{"the wrong customer", func(c *soakCall) []string { return []string{strings.Replace(ran(c), "yard", "small", 1)} }, true},
		{"an unknown key", func(c *soakCall) []string {
			c.key = "never-a-key"
			return []string{ran(c)}
		}, true},
		{"told not run", func(c *soakCall) []string {
			c.status, c.retryAfter = http.StatusServiceUnavailable, true
			return []string{ran(c)}
		}, true},
		{"no time to come back", func(c *soakCall) []string {
			c.status = http.StatusServiceUnavailable
			return nil
		}, true},
		{"refused though allowed", func(c *soakCall) []string {
			c.status = http.StatusUnauthorized
			return nil
		}, true},
		{"half an answer that looks whole", func(c *soakCall) []string {
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
		caught := &catcher{TB: t}
		s := &soak{platformSite: &platformSite{site: &site{t: caught}}, keys: map[string]bool{}}
		c := good()
		lines := one.seen(c)
		s.checkRuns(c, lines)
		s.checkStatus(c, lines)
		s.checkWhole(c)
		if (len(caught.errs) > 0) != one.wrong {
			t.Errorf("%s: %q", one.name, caught.errs)
		}
	}
}
