package tests

import (
	"cmp"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/runworks/runworks/standin"
)

const (
	// foreignStreams is the number of streams that foreign callers send, foreignGap the time between two of them,
	// foreignEvents the number of events of each and foreignStep the time between two events.
	foreignStreams = 48
	foreignGap     = 7 * time.Millisecond
	foreignEvents  = 40
	foreignStep    = 50 * time.Millisecond
	// foreignTries is how often a caller sends a stream at most, and foreignTimeout the time that it has for all tries.
	foreignTries   = 4
	foreignTimeout = 8 * time.Second
	// foreignEventTime is when something happens to a process, and foreignFreeze how long a server is frozen.
	foreignEventTime = 1200 * time.Millisecond
	foreignFreeze    = 700 * time.Millisecond
)

var allForeignForms = flag.Bool("foreign-forms", false, "play the forms of foreign servers and callers that CI leaves out, too")

// foreignForm is a form of servers and callers, and what happens to one of the processes.
type foreignForm struct {
	name string
	// service is the service of the servers; empty for llm.
	service string
	// ci is set if CI plays it, cuts if it cuts streams, or leaves ends that nothing tells from a cut.
	ci, cuts bool
	// http10 has the servers respond in HTTP/1.0, oldCallers the callers request in it, and versions makes the servers'
	// versions differ.
	http10, oldCallers, versions bool
	event                        func(p *foreignSite)
	// before, unless nil, is called before the first stream.
	before func(p *foreignSite)
	// completeAtClose has the fronts take the end of a connection for that of a response without length or chunks.
	completeAtClose bool
	// mixed has the servers send each other response without length or chunks, in HTTP/1.1.
	mixed bool
	// path is where a path closes connections, by itself if it has limits.
	path     foreignPath
	maxAge   time.Duration
	maxBytes int
	// events is the form of the events; nil for events of one piece. The servers divide a stream differently.
	events *standin.RoutedEvents
	// conns is how the servers' connections are odd, idleTimeout how long unused ones stay open, and closeEach the number of
	// responses of which one says that its connection closes.
	conns       standin.OddKind
	idleTimeout time.Duration
	closeEach   int
	// short has streams be short and begin further apart, so that connections are used again.
	short bool
}

// server returns the name of the n-th server.
func (f *foreignForm) server(n int) string { return fmt.Sprint(cmp.Or(f.service, "llm"), "-", n) }

// foreignForms returns all forms.
func foreignForms() []foreignForm {
	var out []foreignForm
	add := func(name string, cuts bool, event func(p *foreignSite), forms ...foreignForm) {
		for _, form := range forms {
			form.name, form.cuts, form.event = name+form.name, cuts, event
			out = append(out, form)
		}
	}
	inCI := func(form foreignForm) foreignForm {
		form.ci = true
		return form
	}
	old, chunks := foreignForm{name: ", HTTP/1.0", http10: true, completeAtClose: true}, foreignForm{name: ", chunks"}
	byDefault := foreignForm{name: ", HTTP/1.0, default settings", http10: true}
	both := func(form foreignForm, change func(*foreignForm)) []foreignForm {
		change(&form)
		other := form
		form.http10, form.completeAtClose, other.name = true, true, form.name+", chunks"
		form.name += ", HTTP/1.0"
		return []foreignForm{form, other}
	}
	add("nothing happens", false, func(*foreignSite) {}, old, chunks)
	add("nothing happens", true, func(*foreignSite) {}, byDefault)
	add("a server is killed", true, (*foreignSite).killServer, inCI(old), inCI(byDefault), chunks)
	add("a server is killed and started again", true, (*foreignSite).restartServer, inCI(byDefault), chunks)
	add("a server ends at SIGTERM", true, (*foreignSite).endServer, inCI(old), chunks)
	add("a server is frozen and killed", true, (*foreignSite).freezeServer, inCI(old), chunks)
	add("a front is killed", true, (*foreignSite).killFront, old, chunks)
	add("a front is stopped", false, (*foreignSite).stopFront, old, chunks)
	add("a server is killed", true, (*foreignSite).killServer, both(foreignForm{ci: true}, func(f *foreignForm) { f.name, f.versions = ", two versions", true })...)
	add("a front is killed", true, (*foreignSite).killFront, both(foreignForm{}, func(f *foreignForm) { f.name, f.versions = ", two versions", true })...)
	add("a server is killed", true, (*foreignSite).killServer, both(foreignForm{}, func(f *foreignForm) { f.name, f.oldCallers = ", old callers", true })...)
	return slices.Concat(out, foreignPathForms(), foreignAddressForms(), foreignStartForms(), foreignEventForms(), foreignConnForms())
}

// foreignSite is a site of two fronts and two servers.
type foreignSite struct {
	*platformSite
	form foreignForm
	// paths are the proxies through which servers or fronts are reached, by name.
	paths map[string]*proxy
}

func newForeignSite(t *testing.T, form foreignForm) *foreignSite {
	p := &foreignSite{platformSite: newBarePlatformSite(t), form: form, paths: map[string]*proxy{}}
	p.putDocument()
	if form.completeAtClose {
		p.extraSettings = completeAtClose
	}
	for _, name := range []string{form.server(1), form.server(2)} {
		p.startServer(name, "127.0.0.1:0")
	}
	for _, name := range []string{"front-1", "front-2"} {
		p.startFront(name)
	}
	for _, name := range []string{"front-1", "front-2"} {
		p.waitReady(name, 2)
	}
	return p
}

// startServer starts a server at an address.
func (p *foreignSite) startServer(name, address string) {
	p.t.Helper()
	p.startUnlisted(name, address, p.version(name))
	p.list(name)
}

// startUnlisted starts a server that has no record, with further arguments.
func (p *foreignSite) startUnlisted(name, address, version string, args ...string) {
	p.t.Helper()
	args = append(args, "--listen", address, "--tell", "--delay", foreignHalf.String(), "--step", foreignStep.String(), "--software", version)
	if p.form.http10 {
		args = append(args, "--http10")
	}
	if p.form.conns != "" {
		args = append(args, "--odd-conns", string(p.form.conns))
	}
	args = append(args, "--idle-timeout", p.form.idleTimeout.String())
	p.backends[name] = startProcess(p.t, name, "standin", append([]string{"routed", "--instance", name}, args...)...)
	faults := standin.RoutedFaults{CloseDelimited: p.form.http10, CloseEach: p.form.closeEach}
	if p.form.events != nil {
		faults.Events = *p.form.events
		if name == p.form.server(2) {
			faults.Events.Tokens += 2
		}
	}
	if p.form.mixed {
		faults.CloseDelimitedEach = 2
	}
	p.setFaults(p.backends[name], faults)
}

func (p *foreignSite) version(server string) string {
	if p.form.versions && server == p.form.server(2) {
		return "v2"
	}
	return "v1"
}

func (p *foreignSite) killServer() { p.backends[p.form.server(2)].signal(syscall.SIGKILL) }
func (p *foreignSite) endServer()  { p.backends[p.form.server(2)].signal(syscall.SIGTERM) }
func (p *foreignSite) killFront()  { p.fronts["front-2"].signal(syscall.SIGKILL) }
func (p *foreignSite) stopFront()  { p.fronts["front-2"].signal(syscall.SIGTERM) }

func (p *foreignSite) freezeServer() {
	p.backends[p.form.server(2)].signal(syscall.SIGSTOP)
	p.wait(foreignFreeze)
	p.killServer()
}

// restartServer kills a server and starts it again under its ID and address.
func (p *foreignSite) restartServer() {
	address := p.backends[p.form.server(2)].address("standin")
	p.killServer()
	p.backends[p.form.server(2)].waitExit()
	p.startServer(p.form.server(2), address)
}

// TestPlatformForeignStreamsLookCompleteTooEarly guards against streams that look complete too early, mix versions, or have
// events missing, repeated or out of order for callers that take them up, where a process ends or a path closes connections.
func TestPlatformForeignStreamsLookCompleteTooEarly(t *testing.T) {
	for _, form := range foreignForms() {
		if form.ci || *allForeignForms {
			t.Run(form.name, func(t *testing.T) {
				t.Parallel()
				newForeignSite(t, form).play()
			})
		}
	}
}

// play sends all streams and checks them.
func (p *foreignSite) play() {
	streams := make([]*orderStream, foreignStreams)
	var wg sync.WaitGroup
	if p.form.before != nil {
		p.form.before(p)
	}
	began := time.Now()
	for i := range streams {
		wg.Go(func() {
			p.wait(time.Until(began.Add(time.Duration(i) * p.form.gap())))
			streams[i] = p.sendStream(i)
		})
	}
	p.wait(time.Until(began.Add(foreignEventTime)))
	p.form.event(p)
	wg.Wait()
	kinds, cut := map[orderKind]int{}, 0
	// whole and none are the numbers of streams that are whole and that got no event: resumable ones, and others.
	var whole, none [2]int
	for i, stream := range streams {
		c := stream.attempts[len(stream.attempts)-1]
		if stream.problem != nil {
			kinds[stream.problem.kind]++
			p.t.Errorf("%s: %s: %s", c.id, stream.problem.kind, stream.problem.text)
		}
		if stream.cut() {
			cut++
			if !p.form.cuts {
				p.t.Logf("%s was cut after event %d and %s: %v", c.id, stream.last, c.ended.Sub(c.sent), c.err)
			}
		}
		switch {
		case stream.whole && stream.problem == nil:
			whole[i%2]++
		case stream.last == 0:
			none[i%2]++
		}
	}
	p.t.Logf("%s: out of order: %v; %d of %d cut; resumable: %d whole, %d without an event; others: %d, %d", p.form.name, kinds, cut, len(streams), whole[0], none[0], whole[1], none[1])
	p.checkWhole(whole[0], whole[1], cut)
}

// checkWhole checks how many resumable streams and others are whole, and how many were cut.
func (p *foreignSite) checkWhole(resumable, others, cut int) {
	switch {
	case p.endsUnknown() && resumable+others > 0:
		p.t.Errorf("%d streams look complete, and nothing shows it", resumable+others)
	case !p.endsUnknown() && (resumable == 0 || others == 0) || p.form.cuts && cut == 0:
		p.t.Error("no stream was whole, or none was cut")
	}
}

// endsUnknown reports whether nothing tells the end of a stream from a cut: its servers only close the connection, and the
// settings do not say that this is the end.
func (p *foreignSite) endsUnknown() bool {
	return p.form.http10 && !p.form.completeAtClose && knownSettings("complete_at_close:") != ""
}

// cut reports whether an attempt broke off, or another run had to continue it.
func (o *orderStream) cut() bool {
	for _, c := range o.attempts {
		if c.status == http.StatusOK && c.err != nil {
			return true
		}
	}
	return len(o.runs) > 1 || o.problem != nil
}

// sendStream sends stream i at the fronts in turn until it is whole, and again only what has not run or may be resumed.
func (p *foreignSite) sendStream(i int) *orderStream {
	stream, deadline := &orderStream{form: p.form.events}, time.Now().Add(foreignTimeout)
	path := []string{"/chat/long/", "/chat/"}[i%2]
	for try := range foreignTries {
		c := &soakCall{events: p.form.pieces(), repeatable: i%2 == 0, timeout: time.Until(deadline)}
		if c.timeout < time.Millisecond {
			return stream
		}
		c.address = p.callerAddress(fmt.Sprint("front-", 1+(i/2+try)%2))
		c.platformCall = platformCall{id: fmt.Sprintf("f%d-%d", i, try), method: http.MethodPost, key: "yard-key", body: []byte("x")}
		c.target = fmt.Sprintf("%s%d?events=%d&origin", path, i, c.events)
		if stream.last > 0 {
			c.header = http.Header{"Last-Event-Id": {fmt.Sprint(stream.last)}, "Resumes": {stream.first}}
		}
		c.send(&foreignCaller{old: p.form.oldCallers})
		if stream.problem = stream.add(c); stream.problem != nil || stream.whole {
			return stream
		}
		switch {
		case c.retryAfter:
			p.wait(min(c.returnAfter, time.Until(deadline)/3))
		case !c.repeatable && c.status != 0:
			return stream
		}
	}
	return stream
}
