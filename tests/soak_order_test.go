package tests

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/runworks/runworks/standin"
)

const (
	// soakOrderSeeds is the first seed whose callers take up streams again themselves, at servers of two
	// versions that do not always continue them; with odd seeds one front schedules the engines for all. From
	// soakOrderCutSeeds on, only the end of the connection ends some streams.
	soakOrderSeeds    = 1_100_000
	soakOrderCutSeeds = 1_150_000
	// soakOrderCallers is the number of such callers, and soakOrderAttempts how often each sends a stream.
	soakOrderCallers  = 8
	soakOrderAttempts = 6
	// soakOrderEvents is the number of events of a stream.
	soakOrderEvents = 30
)

// errLeft is the error of a call whose caller left.
var errLeft = errors.New("the caller left")

// orderStream is a stream over all attempts of its caller.
type orderStream struct {
	attempts []*soakCall
	// last is the number of the last event, run the run that sent it, runs those that sent the events, and version
	// their version.
	last         int
	run, version string
	runs         []string
	// first is the ID of the attempt that brought the first event.
	first string
	// whole is set once an attempt ended as complete.
	whole bool
	// problem is how the last attempt failed to continue the stream; nil if it did.
	problem *orderProblem
	// form is the form of the events, and weights the version of the weights that was named last; nil for events of one piece.
	form    *standin.RoutedEvents
	weights int
}

// orderProblem is a way in which a stream does not go on where it broke, or ends.
type orderProblem struct {
	kind orderKind
	text string
}

// orderKind is a kind of orderProblem.
type orderKind string

const (
	orderEarly    orderKind = "complete too early"
	orderMissing  orderKind = "event missing"
	orderTwice    orderKind = "event twice"
	orderBack     orderKind = "number back"
	orderVersions orderKind = "versions mixed"
	orderRuns     orderKind = "runs in turn"
	orderForeign  orderKind = "no event of the stream"
)

func orderProblemf(kind orderKind, format string, args ...any) *orderProblem {
	return &orderProblem{kind, fmt.Sprintf(format, args...)}
}

// joinsStreams reports whether callers take up streams again.
func (s *soak) joinsStreams() bool { return s.seed >= soakOrderSeeds }

// versionOf returns the software version of the next incarnation at a server's address: two versions run side by
// side, and each release changes it.
func (s *soak) versionOf(server *soakServer) string {
	if !s.joinsStreams() {
		return "v1"
	}
	return fmt.Sprint("v", 1+(slices.Index(s.servers, server)+len(server.incarnations))%2)
}

// orderFaults draws the times in which servers break streams, do not continue them, or crash unseen.
func (s *soak) orderFaults() []soakStep {
	var steps []soakStep
	kinds := standin.RejoinKinds()
	for range 8 + s.rand.IntN(8) {
		server := s.servers[2+s.rand.IntN(len(s.servers)-2)]
		at := time.Duration(s.rand.Int64N(int64(s.faultTime)))
		if s.rand.IntN(4) == 0 {
			steps = append(steps, s.crashBehindCut(server, at)...)
			continue
		}
		faults := standin.RoutedFaults{
			BreakAt: 2 + s.rand.IntN(soakOrderEvents-2), Breaks: 1 + s.rand.IntN(12),
			Rejoin: kinds[s.rand.IntN(len(kinds))], Rejoins: 1 + s.rand.IntN(12),
			CloseDelimited: s.seed >= soakOrderCutSeeds && s.rand.IntN(2) == 0,
		}
		steps = append(steps, soakStep{at: at, name: fmt.Sprintf("a server: %+v", faults), do: func() {
			if inc := server.current(); !inc.ended() {
				trySetFaults(inc.process, faults)
			}
		}})
	}
	return steps
}

// crashBehindCut kills a server that is cut off and starts one of the other version at its address.
func (s *soak) crashBehindCut(server *soakServer, at time.Duration) []soakStep {
	lasts := 100*time.Millisecond + time.Duration(s.rand.Int64N(int64(time.Second)))
	stale := s.rand.IntN(2) == 0
	return []soakStep{
		{at: at, name: fmt.Sprintf("a server crashes behind a cut, record stays %t", stale), do: func() {
			server.proxy.set(proxyBlocksBoth)
			server.current().signalIfAlive(syscall.SIGKILL)
			<-server.current().done
			if !stale {
				s.putRecord(server, "")
			}
			s.startServer(server)
		}},
		{at: at + lasts, name: "the cut is over", do: func() { server.proxy.set(proxyForwards) }},
	}
}

// startOrderCallers starts the callers that take up streams again.
func (s *soak) startOrderCallers() {
	if !s.joinsStreams() {
		return
	}
	for lane := range soakOrderCallers + s.longCallers() {
		rng := rand.New(rand.NewPCG(uint64(s.seed), uint64(1000+lane)))
		s.clients.wg.Go(func() {
			transport, done := s.streamTransport(lane)
			defer done()
			for i := 0; ; i++ {
				select {
				case <-s.clients.quit:
					return
				default:
				}
				stream := s.playStream(rng, transport, fmt.Sprintf("o%d-%d-%d", s.seed, lane, i), lane < soakOrderCallers)
				s.clients.mu.Lock()
				s.streams = append(s.streams, stream)
				s.clients.mu.Unlock()
			}
		})
	}
}

// playStream sends a stream, and takes it up at any front until it is whole, if it may be resumed.
func (s *soak) playStream(rng *rand.Rand, transport http.RoundTripper, name string, resumable bool) *orderStream {
	stream := &orderStream{}
	attempts, path := soakOrderAttempts, "/chat/long/"
	if !resumable {
		attempts, path = 1, "/chat/"
	}
	for n := 0; n < attempts && !stream.whole; n++ {
		front := s.fronts[rng.IntN(len(s.fronts))]
		c := &soakCall{front: front.name, process: front.process.Load(), repeatable: resumable, events: soakOrderEvents}
		c.address = s.callerAddress(rng, front, c.process)
		c.platformCall = platformCall{id: fmt.Sprint(name, "-", n), method: http.MethodPost, key: "yard-key", body: []byte("x")}
		c.target = fmt.Sprintf("%s%s?events=%d&origin", path, name, soakOrderEvents)
		if stream.last > 0 {
			c.header = http.Header{"Last-Event-Id": {fmt.Sprint(stream.last)}, "Resumes": {stream.first}}
		}
		if rng.IntN(4) == 0 {
			c.leaveAfter = 1 + rng.IntN(soakOrderEvents)
		}
		c.send(transport)
		if stream.problem = stream.add(c); stream.problem != nil {
			return stream
		}
		if c.status != http.StatusOK {
			s.wait(20 * time.Millisecond) // limits the rate of retries
		}
	}
	return stream
}

// read reads the call's response, or as many events as the caller waits for.
func (c *soakCall) read(body io.Reader) ([]byte, error) {
	if c.leaveAfter == 0 {
		return io.ReadAll(body)
	}
	var data []byte
	buffer := make([]byte, 1024)
	for bytes.Count(data, []byte("\n\n")) < c.leaveAfter {
		n, err := body.Read(buffer)
		data = append(data, buffer[:n]...)
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
	return data, errLeft
}

// add adds an attempt and returns how what it got fails to continue the stream; nil if it does.
func (o *orderStream) add(c *soakCall) *orderProblem {
	o.attempts = append(o.attempts, c)
	if c.status/100 != 2 {
		return nil
	}
	rest := c.data
	for {
		event, after, ok := bytes.Cut(rest, o.blank())
		if !ok {
			break
		}
		rest = after
		if problem := o.addEvent(c, string(event)); problem != nil {
			return problem
		}
	}
	if c.err == nil {
		o.whole = true
		if o.last < c.events || len(rest) > 0 {
			return orderProblemf(orderEarly, "ended as complete after event %d of %d and %q, status %d", o.last, c.events, rest, c.status)
		}
	}
	return nil
}

// addAll adds attempts up to the first problem, and returns that.
func (o *orderStream) addAll(attempts []*soakCall) orderProblem {
	for _, c := range attempts {
		if problem := o.add(c); problem != nil {
			return *problem
		}
	}
	return orderProblem{}
}

func (o *orderStream) addEvent(c *soakCall, event string) *orderProblem {
	if o.form != nil {
		return o.addTokens(c, event)
	}
	var id, n int
	var target, version, run string
	if _, err := fmt.Sscanf(event, "id: %d\ndata: %s %d\ndata: %s %s", &id, &target, &n, &version, &run); err != nil || id != n || target != c.target {
		return orderProblemf(orderForeign, "after event %d came %q, which is none of the stream", o.last, event)
	}
	return o.addPieces(c, id, id, version, run)
}

// addPieces adds an event with the pieces from first to id.
func (o *orderStream) addPieces(c *soakCall, first, id int, version, run string) *orderProblem {
	switch {
	case id == o.last || first <= o.last && id > o.last:
		return orderProblemf(orderTwice, "event %d came twice, or a part of it", id)
	case id < o.last:
		return orderProblemf(orderBack, "after event %d came %d", o.last, id)
	case first > o.last+1:
		return orderProblemf(orderMissing, "after event %d came %d, with events missing", o.last, id)
	case o.version != "" && version != o.version:
		return orderProblemf(orderVersions, "event %d is of version %s, those before it of %s", id, version, o.version)
	case run != o.run && slices.Contains(o.runs, run):
		return orderProblemf(orderRuns, "event %d is of a run that another one had followed: %s", id, run)
	}
	if first == 1 {
		o.first = c.id
	}
	if run != o.run {
		o.runs = append(o.runs, run)
	}
	o.last, o.version, o.run = id, version, run
	return nil
}

// checkStreams checks what ran of the streams of callers that take them up, the order of their events over all attempts,
// and removes them from runs.
func (s *soak) checkStreams(runs map[string][]string) {
	whole, resumed := 0, 0
	for _, stream := range s.streams {
		for _, c := range stream.attempts {
			s.checkRuns(c, runs[c.id])
			s.checkStatus(c, runs[c.id])
			delete(runs, c.id)
		}
		s.checkOrder(stream)
		if stream.whole {
			whole++
		}
		if len(stream.runs) > 1 {
			resumed++
		}
	}
	if s.joinsStreams() {
		s.t.Logf("%d streams, %d whole, %d of more than one run", len(s.streams), whole, resumed)
	}
	if s.joinsStreams() && resumed == 0 {
		s.t.Errorf("none of %d streams went on in another run", len(s.streams))
	}
}

// checkOrder checks the order of a stream's events.
func (s *soak) checkOrder(o *orderStream) {
	if o.problem == nil {
		return
	}
	c := o.attempts[len(o.attempts)-1]
	s.orderCases = append(s.orderCases, o.problem.kind)
	s.t.Errorf("%s at %s, resumed after %q, sent at %.2f s: %s", c.id, c.front, c.header.Get("Last-Event-Id"), c.sent.Sub(s.began).Seconds(), o.problem.text)
}

// TestSoakChecksOrder checks that the soak's check reports each kind of stream that does not go on where it broke,
// and nothing else.
func TestSoakChecksOrder(t *testing.T) {
	const target = "/chat/long/1?events=30&origin"
	events := func(version, run string, from, to int) []byte {
		var out []byte
		for n := from; n <= to; n++ {
			event := standin.RoutedEvent(target, n)
			out = fmt.Appendf(append(out, event[:len(event)-1]...), "data: %s %s\n\n", version, run)
		}
		return out
	}
	cut := errors.New("cut")
	attempt := func(err error, data ...[]byte) *soakCall {
		c := &soakCall{status: http.StatusOK, data: slices.Concat(data...), err: err, events: soakOrderEvents}
		c.id, c.target = fmt.Sprint("c", err), target
		return c
	}
	begun, rest := attempt(cut, events("v1", "a", 1, 5), []byte("id: 6\nda")), attempt(nil, events("v1", "b", 6, 30))
	empty := attempt(nil)
	empty.status = http.StatusNoContent
	refused := attempt(nil, events("v2", "c", 1, 2))
	refused.status = http.StatusServiceUnavailable
	for _, one := range []struct {
		name     string
		attempts []*soakCall
		kind     orderKind
	}{
		{"whole", []*soakCall{attempt(nil, events("v1", "a", 1, 30))}, ""},
		{"resumed", []*soakCall{begun, refused, rest}, ""},
		{"resumed inside an attempt", []*soakCall{attempt(nil, events("v1", "a", 1, 5), rest.data)}, ""},
		{"never resumed", []*soakCall{begun}, ""},
		{"begins again", []*soakCall{begun, attempt(nil, events("v1", "b", 1, 30))}, orderBack},
		{"repeats an event", []*soakCall{begun, attempt(cut, events("v1", "b", 5, 7))}, orderTwice},
		{"goes back", []*soakCall{begun, attempt(cut, events("v1", "b", 6, 6), events("v1", "b", 5, 9))}, orderBack},
		{"leaves an event out", []*soakCall{begun, attempt(cut, events("v1", "b", 7, 8))}, orderMissing},
		{"another version", []*soakCall{begun, attempt(cut, events("v2", "b", 6, 6))}, orderVersions},
		{"another version inside an attempt", []*soakCall{attempt(cut, events("v1", "a", 1, 5), events("v2", "b", 6, 6))}, orderVersions},
		{"two runs in turn", []*soakCall{begun, attempt(cut, events("v1", "b", 6, 6)), attempt(cut, events("v1", "a", 7, 7))}, orderRuns},
		{"no ID", []*soakCall{begun, attempt(cut, []byte("data: x\n\n"))}, orderForeign},
		{"another stream", []*soakCall{begun, attempt(cut, []byte("id: 6\ndata: /other 6\ndata: v1 b\n\n"))}, orderForeign},
		{"complete too early", []*soakCall{begun, attempt(nil, events("v1", "b", 6, 29))}, orderEarly},
		{"complete inside an event", []*soakCall{begun, attempt(nil, rest.data, []byte("id"))}, orderEarly},
		{"another type of content", []*soakCall{begun, attempt(nil, []byte("{}"))}, orderEarly},
		{"no content", []*soakCall{begun, empty}, orderEarly},
	} {
		found := (&orderStream{}).addAll(one.attempts)
		if found.kind != one.kind {
			t.Errorf("%s: %+v", one.name, found)
		}
	}
}
