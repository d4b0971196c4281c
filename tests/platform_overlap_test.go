package tests

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// overlapStreams is the number of streams, of which those that two more attempts take up at once are every overlapTwice-th.
	overlapStreams = 48
	overlapTwice   = 3
	// overlapFreeze is how long a front or server is frozen, and overlapFreezeLong so long that the others drop a front meanwhile.
	overlapFreeze     = 500 * time.Millisecond
	overlapFreezeLong = 3 * time.Second
)

// overlapForm is what happens while streams are taken up whose former attempts still run.
type overlapForm struct {
	name string
	// ci is set if CI plays it.
	ci bool
	// fronts is the number of fronts, and mixed is set if servers of two versions serve from the start.
	fronts int
	mixed  bool
	event  func(p *overlapSite)
}

func overlapForms() []overlapForm {
	return []overlapForm{
		{"nothing, two versions", false, 2, true, func(*overlapSite) {}},
		{"roll-out", true, 3, false, (*overlapSite).rollOut},
		{"roll-out, killed servers", false, 3, false, func(p *overlapSite) {
			p.addVersion()
			p.killVersion()
		}},
		{"roll-out, front stops", false, 3, false, func(p *overlapSite) {
			p.fronts["front-1"].signal(syscall.SIGTERM)
			p.rollOut()
		}},
		{"roll-out, front killed", true, 3, false, func(p *overlapSite) {
			p.addVersion()
			p.fronts["front-1"].signal(syscall.SIGKILL)
			p.killVersion()
		}},
		{"roll-out, settings reloaded", false, 2, false, func(p *overlapSite) {
			for _, front := range p.fronts {
				front.signal(syscall.SIGHUP)
			}
			p.rollOut()
		}},
		{"server killed, two versions", false, 2, true, func(p *overlapSite) { p.backends["llm-1"].signal(syscall.SIGKILL) }},
		{"server frozen, two versions", false, 2, true, func(p *overlapSite) { p.freeze(p.backends["llm-1"], overlapFreezeLong) }},
		{"front frozen, two versions", false, 3, true, func(p *overlapSite) { p.freeze(p.fronts["front-1"], overlapFreeze) }},
		{"front frozen for long, two versions", false, 3, true, func(p *overlapSite) { p.freeze(p.fronts["front-1"], overlapFreezeLong) }},
		{"front frozen in a roll-out", false, 3, false, func(p *overlapSite) { p.frozen("front-1", overlapFreeze, (*overlapSite).rollOut) }},
		{"front frozen for long in a roll-out", true, 3, false, func(p *overlapSite) { p.frozen("front-1", overlapFreezeLong, (*overlapSite).rollOut) }},
		{"front frozen for long in a roll-out, another killed", false, 3, false, func(p *overlapSite) {
			p.frozen("front-1", overlapFreezeLong, func(p *overlapSite) {
				p.rollOut()
				p.fronts["front-2"].signal(syscall.SIGKILL)
			})
		}},
		{"route no longer resumable, two versions", false, 2, true, func(p *overlapSite) { p.changeDocument(`"resumable": true, `, "") }},
		{"timeouts change, two versions", false, 2, true, func(p *overlapSite) { p.changeDocument(`"timeoutMs": 20000`, `"timeoutMs": 4000`) }},
	}
}

// overlapSite is a site of fronts and servers of up to two versions.
type overlapSite struct {
	*platformSite
	form  overlapForm
	lines struct {
		sync.Mutex
		all []*orderStream
	}
}

func newOverlapSite(t *testing.T, form overlapForm) *overlapSite {
	p := &overlapSite{platformSite: newBarePlatformSite(t), form: form}
	p.putDocument()
	p.startVersion("v1", "llm-1", "llm-2")
	if form.mixed {
		p.startVersion("v2", "llm-3", "llm-4")
	}
	for n := range form.fronts {
		p.startFront(p.front(n))
	}
	for n := range form.fronts {
		p.waitReady(p.front(n), form.fronts)
	}
	return p
}

func (p *overlapSite) front(n int) string { return fmt.Sprint("front-", 1+n%p.form.fronts) }

// startVersion starts servers of a version and writes their records.
func (p *overlapSite) startVersion(version string, names ...string) {
	p.t.Helper()
	p.startUnlisted(version, names...)
	for _, name := range names {
		p.listVersion(name, version)
	}
}

func (p *overlapSite) startUnlisted(version string, names ...string) {
	p.t.Helper()
	for _, name := range names {
		p.backends[name] = startProcess(p.t, name, "standin", "routed", "--instance", name, "--tell", "--step", foreignStep.String(), "--software", version)
	}
}

func (p *overlapSite) addVersion() { p.startVersion("v2", "llm-3", "llm-4") }

// rollOut replaces the servers of v1 by those of v2: the former drain, and end on their own.
func (p *overlapSite) rollOut() {
	p.addVersion()
	for _, name := range []string{"llm-1", "llm-2"} {
		p.listServer(name, "draining")
		p.wait(overlapFreeze / 2)
		p.put("keyed.servers", name, nil)
		p.backends[name].signal(syscall.SIGTERM)
	}
}

func (p *overlapSite) killVersion() {
	for _, name := range []string{"llm-1", "llm-2"} {
		p.backends[name].signal(syscall.SIGKILL)
		p.put("keyed.servers", name, nil)
	}
}

// freeze stops a process for a time.
func (p *overlapSite) freeze(one *process, lasts time.Duration) {
	one.signal(syscall.SIGSTOP)
	p.wait(lasts)
	one.signal(syscall.SIGCONT)
}

// frozen has a front frozen for a time, or longer if meanwhile takes longer.
func (p *overlapSite) frozen(front string, lasts time.Duration, meanwhile func(p *overlapSite)) {
	p.fronts[front].signal(syscall.SIGSTOP)
	until := time.Now().Add(lasts)
	meanwhile(p)
	p.wait(time.Until(until))
	p.fronts[front].signal(syscall.SIGCONT)
}

func (p *overlapSite) changeDocument(old, changed string) {
	p.put("keyed.op", "config", []byte(strings.ReplaceAll(fmt.Sprintf(platformDocument, 2), old, changed)))
}

// TestPlatformStreamsTakenUpWhileTheyRun guards against streams that mix versions, or have events missing, repeated or out of
// order in a line of attempts, where callers take them up while former attempts still run, at other fronts and twice at once.
func TestPlatformStreamsTakenUpWhileTheyRun(t *testing.T) {
	for _, form := range overlapForms() {
		if form.ci || *allForeignForms {
			t.Run(form.name, func(t *testing.T) {
				t.Parallel()
				newOverlapSite(t, form).play()
			})
		}
	}
}

// play sends all streams, and checks each line of attempts.
func (p *overlapSite) play() {
	var wg sync.WaitGroup
	began := time.Now()
	for i := range overlapStreams {
		wg.Go(func() {
			p.wait(time.Until(began.Add(time.Duration(i) * foreignGap)))
			p.sendLine(&orderStream{}, i, fmt.Sprint("o", i), i, &wg)
		})
	}
	p.wait(time.Until(began.Add(foreignEventTime)))
	p.form.event(p)
	wg.Wait()
	whole, resumed, refused := 0, 0, 0
	for _, line := range p.lines.all {
		last := line.attempts[len(line.attempts)-1]
		if line.problem != nil {
			p.t.Errorf("%s at %s: %s: %s", last.id, last.front, line.problem.kind, line.problem.text)
		}
		if line.whole {
			whole++
		}
		if len(line.runs) > 1 {
			resumed++
		}
		if last.status == http.StatusServiceUnavailable {
			refused++
		}
	}
	p.t.Logf("%s: %d lines of %d streams, %d whole, %d of several runs, %d refused", p.form.name, len(p.lines.all), overlapStreams, whole, resumed, refused)
	if resumed < overlapStreams/8 {
		p.t.Errorf("only %d lines of several runs", resumed)
	}
}

// sendLine sends attempts of stream i in turn, which continue what a line has, until it is whole. The first one is taken up
// by one or two further lines while it runs.
func (p *overlapSite) sendLine(line *orderStream, i int, name string, front int, wg *sync.WaitGroup) {
	first := line.last == 0
	for try := range foreignTries {
		c := &soakCall{events: foreignEvents, repeatable: true, timeout: foreignTimeout, front: p.front(front + try)}
		c.address = p.fronts[c.front].address("callers")
		c.platformCall = platformCall{id: fmt.Sprint(name, "-", try), method: http.MethodPost, key: "yard-key", body: []byte("x")}
		c.target = fmt.Sprintf("/chat/long/%d?events=%d&origin", i, foreignEvents)
		if line.last > 0 {
			c.header = http.Header{"Last-Event-Id": {fmt.Sprint(line.last)}, "Resumes": {line.first}}
		}
		transport := &overlapCaller{}
		if first && try == 0 {
			transport.at = 1 + i%(foreignEvents-10)
			transport.fork = func(data []byte) { p.fork(line, c, data, i, name, front, wg) }
		}
		c.send(transport)
		if line.problem = line.add(c); line.problem != nil || line.whole {
			break
		}
		if c.retryAfter {
			p.wait(min(c.returnAfter, foreignTimeout/3))
		}
	}
	p.lines.Lock()
	defer p.lines.Unlock()
	p.lines.all = append(p.lines.all, line)
}

// fork takes a stream up of which its first attempt has brought data so far.
func (p *overlapSite) fork(line *orderStream, c *soakCall, data []byte, i int, name string, front int, wg *sync.WaitGroup) {
	part := *c
	part.status, part.data, part.err = http.StatusOK, data, errLeft
	for n := range 1 + (overlapTwice-1-i%overlapTwice)/(overlapTwice-1) {
		forked := &orderStream{first: line.first}
		if forked.problem = forked.add(&part); forked.problem != nil {
			return // the first line reports it
		}
		wg.Go(func() { p.sendLine(forked, i, fmt.Sprint(name, []string{"-a", "-b"}[n]), front+1+n, wg) })
	}
}

// overlapCaller is a foreignCaller that calls fork, unless nil, with the data that has come once that is a number of events.
type overlapCaller struct {
	foreignCaller
	at   int
	fork func(data []byte)
}

// RoundTrip implements http.RoundTripper.
func (o *overlapCaller) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := o.foreignCaller.RoundTrip(req)
	if err == nil && o.fork != nil {
		res.Body = &overlapBody{ReadCloser: res.Body, caller: o}
	}
	return res, err
}

// overlapBody is the body of a response to an overlapCaller.
type overlapBody struct {
	io.ReadCloser
	caller *overlapCaller
	data   []byte
}

// Read implements io.Reader.
func (b *overlapBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.data = append(b.data, p[:n]...)
	if b.caller.fork != nil && strings.Count(string(b.data), "\n\n") >= b.caller.at {
		b.caller.fork(slices.Clone(b.data))
		b.caller.fork = nil
	}
	return n, err
}
