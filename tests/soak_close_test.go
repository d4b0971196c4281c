package tests

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/runworks/runworks/standin"
)

const (
	// soakCloseSeeds is the first seed with which paths close connections without a reset, beside other events, and
	// with callers that close their sending side after the request.
	soakCloseSeeds = 1_200_000
	// soakHalfCallers is the number of such callers.
	soakHalfCallers = 2
	// soakCloseSpan is the time within which events beside a close happen.
	soakCloseSpan = 60 * time.Millisecond
)

// closesPaths reports whether paths close connections without a reset.
func (s *soak) closesPaths() bool { return s.mixesFrom(soakCloseSeeds) }

// closeFaults draws the times in which a path closes its connections, and what happens beside that.
func (s *soak) closeFaults() []soakStep {
	var steps []soakStep
	for range 10 + s.rand.IntN(8) {
		server := s.anyServer()
		at := 300*time.Millisecond + time.Duration(s.rand.Int64N(int64(s.faultTime)))
		faults := standin.RoutedFaults{CloseDelimited: true}
		steps = append(steps, soakStep{at: at - 200*time.Millisecond, name: "a server of " + server.service + " sends no lengths", do: func() {
			if inc := server.current(); !inc.ended() {
				trySetFaults(inc.process, faults)
			}
		}})
		steps = append(steps, s.closePath(server, at)...)
		for range s.rand.IntN(3) {
			beside := at + time.Duration(s.rand.Int64N(int64(2*soakCloseSpan))) - soakCloseSpan
			steps = append(steps, s.besideClose(server, beside)...)
		}
	}
	return steps
}

// closePath closes the connections of a path: that to a server, more often than all to servers, to the store or to the
// other fronts of one, or to a front from callers.
func (s *soak) closePath(server *soakServer, at time.Duration) []soakStep {
	which := proxyEnd(s.rand.IntN(int(proxyEndsBoth) + 1))
	f := s.anyFront()
	paths, what := []*proxy{server.proxy}, "a server of "+server.service
	switch s.rand.IntN(8) {
	case 0:
		paths, what = nil, "all servers"
		for _, one := range s.servers {
			paths = append(paths, one.proxy)
		}
	case 1:
		paths, what = []*proxy{f.store}, "the store from "+f.name
	case 2:
		paths, what = []*proxy{f.peers}, f.name+" from the others"
	case 3:
		paths, what = []*proxy{f.callers}, f.name+" from callers"
	}
	return s.endPaths(paths, what, which, at)
}

// endPaths closes the connections of paths.
func (s *soak) endPaths(paths []*proxy, what string, which proxyEnd, at time.Duration) []soakStep {
	name := fmt.Sprintf("the way to %s closes %s", what, [...]string{"answers", "requests", "both ways"}[which])
	fault := s.storeFault(soakFault{begin: func() {
		for _, path := range paths {
			path.end(which)
		}
	}, end: func() {}})
	return []soakStep{{at: at, name: name, do: fault.begin}, {at: at + soakStoreTimeout, name: name + ", noticed", do: fault.end}}
}

// besideClose draws an event beside the close of a path to a server.
func (s *soak) besideClose(server *soakServer, at time.Duration) []soakStep {
	var fault soakFault
	switch s.rand.IntN(6) {
	case 0:
		fault = s.stopFront()
	case 1:
		return s.crashBehindCut(server, at)
	case 2:
		fault = s.pauseFront()
	case 3:
		return append(s.timed(s.pauseFront(), at), s.timed(s.restartServer(s.rand), at+soakCloseSpan)...)
	case 4:
		fault = s.restartServer(s.rand)
	case 5:
		fault = s.killServer()
	}
	return s.timed(fault, at)
}

// timed returns the steps of a fault that begins at a time.
func (s *soak) timed(fault soakFault, at time.Duration) []soakStep {
	lasts := 100*time.Millisecond + time.Duration(s.rand.Int64N(int64(1500*time.Millisecond)))
	return []soakStep{{at: at, name: fault.name, do: fault.begin}, {at: at + lasts, name: fault.name + " is over", do: fault.end}}
}

// callerAddress returns where a caller reaches a front: on a path that may close connections, or directly.
func (s *soak) callerAddress(rng *rand.Rand, f *soakFront, process *process) string {
	if s.closesPaths() && rng.IntN(2) == 0 {
		return f.callers.address()
	}
	return process.address("callers")
}

// startHalfCallers starts the callers that close their sending side after the request. They reach fronts directly: on a
// path that closes connections, a response of HTTP/1.0 can't be told from a whole one.
func (s *soak) startHalfCallers() {
	if !s.closesPaths() {
		return
	}
	for n := range soakHalfCallers {
		s.startOtherCaller(soakCallers+soakLoadCallers+n, &halfCloser{}, func(c *soakCall) { c.half, c.address = true, c.process.address("callers") })
	}
}

// startOtherCaller starts a caller that sends calls of all kinds, each changed by prepare.
func (s *soak) startOtherCaller(lane int, transport http.RoundTripper, prepare func(c *soakCall)) {
	rng := rand.New(rand.NewPCG(uint64(s.seed), uint64(lane)+1))
	s.clients.wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-s.clients.quit:
				return
			default:
			}
			c := s.nextCall(rng, lane, i)
			prepare(c)
			s.clients.send(c, transport)
			s.wait(20 * time.Millisecond) // limits the rate of retries
		}
	})
}

// halfCloser sends each request on a connection of its own and closes its sending side. Each other request is one of
// HTTP/1.0, whose response the end of the connection may end.
type halfCloser struct{ sent int }

// RoundTrip implements http.RoundTripper.
func (h *halfCloser) RoundTrip(req *http.Request) (*http.Response, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(req.Context(), "tcp", req.URL.Host)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(req.Context(), func() { _ = conn.Close() })
	var out bytes.Buffer
	req.Close = true
	if err := req.Write(&out); err != nil {
		return nil, err
	}
	data := out.Bytes()
	if h.sent++; h.sent%2 == 0 {
		data = bytes.Replace(data, []byte("HTTP/1.1\r\n"), []byte("HTTP/1.0\r\n"), 1)
	}
	if _, err := conn.Write(data); err != nil {
		return nil, err
	}
	closeWrite(conn)
	return http.ReadResponse(bufio.NewReader(conn), req)
}

// arrivedUnproven reports whether all of a call's response arrived, and its front broke it off as nothing showed that it was
// whole: its server has sent neither a length nor chunks.
func (c *soakCall) arrivedUnproven() bool {
	if c.status != http.StatusOK || c.err == nil || !bytes.Equal(c.data, c.expected()) {
		return false
	}
	for line := range strings.Lines(c.process.outputText()) {
		if strings.Contains(line, fmt.Sprintf(`"request":%q`, c.id)) && strings.Contains(line, `"close_delimited":true`) {
			return strings.Contains(line, "nothing shows that the response is whole")
		}
	}
	return false
}

// callOf returns the call with an ID; nil if there is none.
func (s *soak) callOf(id string) *soakCall {
	for _, c := range s.clients.calls {
		if c.id == id {
			return c
		}
	}
	for _, stream := range s.streams {
		for _, c := range stream.attempts {
			if c.id == id {
				return c
			}
		}
	}
	return nil
}
