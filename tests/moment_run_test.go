package tests

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/runworks/runworks/standin"
)

// setStops sets the stops of all servers that run.
func (p *momentSite) setStops(stops []standin.Stop) {
	p.stops = stops
	for _, s := range p.servers {
		p.setStopsAt(s)
	}
}

// setStopsAt sets the stops of a server; one that is frozen gets them when it runs again.
func (p *momentSite) setStopsAt(s *momentServer) {
	if s.frozen || s.ended() {
		return
	}
	data, err := json.Marshal(p.stops)
	if err != nil {
		p.t.Fatal(err)
	}
	if res, err := soakControl.Post("http://"+s.address("standin")+"/stops", "application/json", bytes.NewReader(data)); err == nil {
		_ = res.Body.Close()
	}
}

// stopsOf returns the stops for the point of an event: those of all streams that stop, and of the calls without events beside
// them, which the first event meets before their heads and the second one amid their bodies.
func (p *momentSite) stopsOf(event int) []standin.Stop {
	point := p.play.points[event]
	var out []standin.Stop
	for n, s := range p.streams {
		switch {
		case n < momentSubjects:
			out = append(out, standin.Stop{Target: s.target, Point: point, Event: momentEventOf(point)})
		case s.kind.plain():
			out = append(out, standin.Stop{Target: s.target, Point: momentPlainPoints[event]})
		}
	}
	return out
}

// cuts returns the resets that have streams reach the points at which they are taken up.
func (p *momentSite) cuts() []standin.Stop {
	var out []standin.Stop
	for _, s := range p.streams[:momentSubjects] {
		if p.play.hasPoint(standin.PointResume) {
			out = append(out, standin.Stop{Target: s.target, Point: standin.PointBetween, Event: p.play.cut(), Reset: true})
		}
		// Without this a rest is asked for only behind a close that proves nothing.
		if p.play.hasPoint(standin.PointRest) && (!p.play.form.http10 || p.play.form.completeAtClose) {
			out = append(out, standin.Stop{Target: s.target, Point: standin.PointLast, Reset: true})
		}
	}
	return out
}

func momentEventOf(point standin.Point) int {
	switch point {
	case standin.PointInside:
		return momentInside
	case standin.PointBetween:
		return momentBetween
	}
	return 0
}

// startStreams starts all streams.
func (p *momentSite) startStreams() {
	for range momentSubjects {
		p.streams = append(p.streams, p.newStream(len(p.streams), momentLength, p.play.kind))
	}
	for _, kind := range momentBeside {
		p.streams = append(p.streams, p.newStream(len(p.streams), momentBesideLength, kind))
	}
	p.setStops(slices.Concat(p.cuts(), p.stopsOf(0), p.stopsOf(1)))
	for n, s := range p.streams {
		p.work.Go(func() {
			p.wait(time.Duration(n) * momentStart)
			s.send(n % 2)
		})
	}
}

// startAfter starts streams after an event. Their callers leave after the first events and take them up at once.
func (p *momentSite) startAfter() {
	for n := range momentAfter {
		s := p.newStream(len(p.streams), momentLength, momentResumable)
		s.early = momentEarly
		p.streams = append(p.streams, s)
		p.work.Go(func() {
			p.wait(time.Duration(n/2) * momentStart)
			s.send(n % 2)
		})
	}
}

// find returns the points at which streams have stopped, at servers and fronts that run.
func (p *momentSite) find(point standin.Point) []*moment {
	var out []*moment
	prefix := fmt.Sprint("at ", point, " ")
	for _, server := range p.servers {
		if server.ended() {
			continue
		}
		for line := range strings.Lines(server.outputText()) {
			rest, ok := strings.CutPrefix(strings.TrimSpace(line), prefix)
			if !ok {
				continue
			}
			_, id, _ := strings.Cut(rest, " ")
			if m := p.momentOf(server, id); m != nil && !p.fronts[m.front].ended() {
				out = append(out, m)
			}
		}
	}
	return out
}

func (p *momentSite) momentOf(server *momentServer, id string) *moment {
	for _, s := range p.streams[:momentSubjects] {
		s.mu.Lock()
		i := slices.IndexFunc(s.calls, func(c *momentCall) bool { return c.id == id })
		var front string
		if i >= 0 {
			front = s.calls[i].front
		}
		s.mu.Unlock()
		if i >= 0 {
			other := "front-2"
			if front == other {
				other = "front-1"
			}
			return &moment{stream: s, server: server, front: front, other: other}
		}
	}
	return nil
}

// reach waits until a stream stops at a point, and for some time until it is the same one as before; nil if none does within a
// limit, or all streams that stop have ended.
func (p *momentSite) reach(point standin.Point, same *momentStream, limit time.Duration) *moment {
	began := time.Now()
	var found time.Time
	for ; time.Since(began) < limit; p.wait(momentPoll) {
		all := p.find(point)
		i := slices.IndexFunc(all, func(m *moment) bool { return m.stream == same })
		switch {
		case i >= 0:
			return all[i]
		case len(all) > 0 && (same == nil || same.over() || !found.IsZero() && time.Since(found) > momentSame):
			return all[0]
		case len(all) > 0 && found.IsZero():
			found = time.Now()
		case len(all) == 0 && !slices.ContainsFunc(p.streams[:momentSubjects], func(s *momentStream) bool { return !s.over() }):
			return nil
		}
	}
	return nil
}

// over reports whether the caller has ended.
func (s *momentStream) over() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun && s.callers == 0
}

// run plays both events and returns what happened.
func (p *momentSite) run() momentResult {
	p.startStreams()
	first, second := p.play.points[0], p.play.points[1]
	out := momentResult{}
	end := func() {}
	defer func() {
		end()
		p.setStops(nil)
		p.work.Wait()
	}()
	m := p.reach(first, nil, momentTimeout)
	if m == nil {
		out.reasons[0], out.reasons[1] = "no stream reached the point", "the first event did not happen"
		return out
	}
	stream := m.stream
	end, out.reasons[0] = p.act(0, m)
	p.startAfter()
	if !p.play.lasting {
		p.wait(p.play.hold)
		end()
		end = func() {}
	}
	if first != second {
		p.setStops(slices.Concat(p.cuts(), p.stopsOf(1)))
		if p.play.lasting {
			m = p.reach(second, stream, momentLimit)
			if m == nil { // the effect holds the stream up
				end()
				end = func() {}
			}
		}
		if !p.play.lasting || m == nil {
			m = p.reach(second, stream, momentTimeout)
		}
	}
	if m == nil {
		out.reasons[1] = "no stream reached the point"
		return out
	}
	out.same = m.stream == stream
	var endSecond func()
	endSecond, out.reasons[1] = p.act(1, m)
	p.startAfter()
	p.wait(p.play.hold)
	endSecond()
	return out
}

// act has an event of the play happen, and returns what ends its effect and why it could not happen, if so.
func (p *momentSite) act(n int, m *moment) (func(), string) {
	at := *m // both events may meet one moment
	at.event = n
	end, reason := p.play.events()[n].act(p, &at)
	p.t.Logf("event %d at %s of %s, server %s, %s: %s", n+1, p.play.points[n], m.stream.target, m.server.name, m.front, reason)
	if end == nil {
		end = func() {}
	}
	return end, reason
}

// ran returns the servers that ran calls, by the ID of the call.
func (p *momentSite) ran() map[string][]string {
	out := map[string][]string{}
	for _, s := range p.servers {
		p.awaitOutput(s)
		momentRan(out, s.id, s.outputText())
	}
	return out
}

// awaitOutput waits until the output of a server has all calls that it ran: its reader may be behind what callers have read.
func (p *momentSite) awaitOutput(s *momentServer) {
	var calls []standin.RoutedCall
	if s.ended() || !getJSON("http://"+s.address("standin")+"/calls", &calls) {
		return
	}
	p.waitFor(s.name+" has told its calls", func() bool { return s.ended() || len(ranLines(s.outputText())) >= len(calls) })
}

// checkFronts checks that no front has ended by itself.
func (p *momentSite) checkFronts() {
	for name, front := range p.fronts {
		if front.ended() && !p.ending[front] || strings.Contains(front.outputText(), "panic:") {
			p.t.Errorf("%s ended by itself", name)
		}
	}
}

// end ends a process with a signal, and returns why it can't.
func (p *momentSite) end(of *process, signal syscall.Signal) string {
	if of.ended() {
		return of.name + " has ended"
	}
	p.ending[of] = true
	of.signalIfAlive(signal)
	if signal == syscall.SIGKILL {
		of.waitExit()
	}
	return ""
}
