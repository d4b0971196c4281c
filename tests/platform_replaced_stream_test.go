package tests

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowTarget is a stream of slowEvents events that lasts for two seconds at a server with a delay of 20 ms.
const (
	slowTarget = "/chat/long/slow?events=100"
	slowEvents = 100
)

// readEvents reads whole events of a response until there are n in total.
func readEvents(t testing.TB, res *recordedResponse, n int) {
	t.Helper()
	one := make([]byte, 1)
	for bytes.Count(res.read.Bytes(), []byte("\n\n")) < n {
		if _, err := res.Body.Read(one); err != nil {
			t.Fatalf("%v after %q", err, res.events())
		}
	}
}

// beginSlowStream begins a stream and reads its first three events.
func (p *closeDelimitedSite) beginSlowStream(target string) *recordedResponse {
	p.t.Helper()
	res, err := p.begin(platformCall{id: "slow-1", method: http.MethodPost, target: target, key: "yard-key"})
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = res.Body.Close() })
	out := &recordedResponse{Response: res}
	out.Body = io.NopCloser(io.TeeReader(res.Body, &out.read))
	readEvents(p.t, out, 3)
	return out
}

// addCutServer starts a server that is reached through a proxy.
func (p *closeDelimitedSite) addCutServer(name string, delay time.Duration) *proxy {
	p.t.Helper()
	p.startServer(name, name, "127.0.0.1:0", delay)
	path := newProxy(p.t, p.backends[name].address("standin"))
	p.list(name, path.address(), 0)
	p.waitListed(name)
	return path
}

// resumeSlow takes a stream up at a front until an attempt is accepted, and returns its events after those that
// the caller has.
func (p *closeDelimitedSite) resumeSlow(front string, has []byte) []byte {
	p.t.Helper()
	header := http.Header{"Last-Event-Id": {fmt.Sprint(bytes.Count(has, []byte("\n\n")))}, "Resumes": {"slow-1"}}
	var out []byte
	n := 1
	p.waitFor("the stream goes on", func() bool {
		n++
		res, data, err := p.do(front, platformCall{id: fmt.Sprint("slow-", n), method: http.MethodPost, target: slowTarget, key: "yard-key", header: header})
		out = data
		return err == nil && res.StatusCode == http.StatusOK
	})
	return out
}

// TestPlatformStreamOfServersReplacedTwice guards against a stream that looks complete or goes wrong because the
// server that continues it is replaced as well.
func TestPlatformStreamOfServersReplacedTwice(t *testing.T) {
	is := is.New(t)
	p, first := newCloseDelimitedCutSite(t, 0, completeAtClose)
	res := p.beginSlowStream(slowTarget)
	second := p.addCutServer("llm-2", 20*time.Millisecond)
	p.succeed("llm-1", first, startSuccessor(t, 0))
	p.put("keyed.servers", "llm-1", nil)
	p.waitFor("the stream goes on", func() bool { return len(p.calls("llm-2")) == 1 })
	var last int
	_, err := fmt.Sscan(p.calls("llm-2")[0].LastEvent, &last)
	is.NoErr(err)
	readEvents(t, res, last+2)
	p.succeed("llm-2", second, startSuccessor(t, 0))
	p.put("keyed.servers", "llm-2", nil)
	_, err = io.ReadAll(res.Body)
	is.True(err != nil) // the route allows two attempts, and neither was whole
	is.True(bytes.HasPrefix(platformEvents(slowTarget, slowEvents), res.read.Bytes()))
	delete(p.backends, "llm-1")
	delete(p.backends, "llm-2")
	p.addCutServer("llm-3", time.Millisecond)
	is.Equal(res.events()+string(p.resumeSlow("front-1", res.read.Bytes())), string(platformEvents(slowTarget, slowEvents)))
}

// TestPlatformStreamTakenUpAtAnotherFront guards against events twice or out of order where a caller takes a
// stream up elsewhere while its front is stopped and its server is replaced.
func TestPlatformStreamTakenUpAtAnotherFront(t *testing.T) {
	is := is.New(t)
	p, path := newCloseDelimitedCutSite(t, 0, completeAtClose)
	p.startFront("front-2")
	p.waitReady("front-2", 2)
	res := p.beginSlowStream(slowTarget)
	path.set(proxyBlocksBoth)
	p.fronts["front-1"].signal(syscall.SIGSTOP)
	p.backends["llm-1"].signal(syscall.SIGKILL)
	p.backends["llm-1"].waitExit()
	p.put("keyed.servers", "llm-1", nil)
	p.startServer("llm-2", "llm-2", "127.0.0.1:0", time.Millisecond)
	p.listServer("llm-2", "ready")
	path.setTarget(p.backends["llm-2"].address("standin"))
	path.set(proxyForwards)
	rest := p.resumeSlow("front-2", res.read.Bytes())
	is.Equal(res.events()+string(rest), string(platformEvents(slowTarget, slowEvents)))
	p.fronts["front-1"].signal(syscall.SIGCONT)
	_, err := io.ReadAll(res.Body)
	got, whole := res.read.Bytes(), platformEvents(slowTarget, slowEvents)
	is.True(bytes.HasPrefix(whole, got))
	is.Equal(err == nil, len(got) == len(whole)) // the first response looks complete only if it is
}

// TestPlatformStreamOfReusedAddress guards against a stream that looks complete because a server of another
// service has the address of its own.
func TestPlatformStreamOfReusedAddress(t *testing.T) {
	for _, target := range []string{slowTarget, "/chat/slow?events=100"} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			p, path := newCloseDelimitedCutSite(t, 0, completeAtClose)
			res := p.beginSlowStream(target)
			p.addCutServer("llm-2", time.Millisecond)
			path.set(proxyBlocksBoth)
			p.backends["llm-1"].signal(syscall.SIGKILL)
			p.backends["llm-1"].waitExit()
			p.put("keyed.servers", "llm-1", nil)
			p.startServer("app-1", "app-1", "127.0.0.1:0", 0)
			path.setTarget(p.backends["app-1"].address("standin"))
			p.list("app-1", path.address(), 0)
			p.waitListed("app-1")
			path.set(proxyForwards)
			_, err := io.ReadAll(res.Body)
			got, whole := res.read.Bytes(), platformEvents(target, slowEvents)
			if target == slowTarget {
				is.NoErr(err)
				is.Equal(string(got), string(whole))
			} else {
				is.True(err != nil) // the response must not look complete
				is.True(bytes.HasPrefix(whole, got))
			}
			is.Equal(len(p.calls("app-1")), 0)
		})
	}
}

// TestPlatformStreamOfStoppedFront guards against events that are missing or come twice because a front was
// stopped when its server was replaced, before and after the last event.
func TestPlatformStreamOfStoppedFront(t *testing.T) {
	for _, sent := range []string{"cut", "whole"} {
		t.Run(sent, func(t *testing.T) {
			is := is.New(t)
			p, path := newCloseDelimitedCutSite(t, 0, completeAtClose)
			res := p.beginSlowStream(slowTarget)
			p.addCutServer("llm-2", time.Millisecond)
			p.fronts["front-1"].signal(syscall.SIGSTOP)
			if sent == "whole" {
				p.waitFor("the server has sent all", func() bool { return allEnded(routedRuns(t, p.backends["llm-1"])) })
			}
			p.succeed("llm-1", path, startSuccessor(t, 0))
			p.fronts["front-1"].signal(syscall.SIGCONT)
			_, err := io.ReadAll(res.Body)
			is.NoErr(err)
			is.Equal(res.events(), string(platformEvents(slowTarget, slowEvents)))
		})
	}
}

// TestPlatformStreamsOnOneConnection guards against a caller's kept connection that carries rests of an earlier
// stream, or ends after one that was joined.
func TestPlatformStreamsOnOneConnection(t *testing.T) {
	is := is.New(t)
	p, s := newPartSite(t)
	transport := &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	opened := 0
	play := func(target string) (string, error) {
		ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
			if !c.Reused {
				opened++
			}
		}})
		c := platformCall{id: "kept-" + target, method: http.MethodPost, target: target, key: "yard-key"}
		req, err := c.request(ctx, p.fronts["front-1"].address("callers"), 10*time.Second)
		is.NoErr(err)
		res, err := transport.RoundTrip(req)
		is.NoErr(err)
		defer func() { _ = res.Body.Close() }()
		data, err := io.ReadAll(res.Body)
		return string(data), err
	}
	begun := streamPart{http.StatusOK, "text/event-stream", eventsOf(1, 2, 3) + "id: 4\nda", true}
	rest := streamPart{http.StatusOK, "text/event-stream", eventsOf(4, 5), false}
	joined := func(i int) {
		s.script(begun, rest)
		data, err := play(fmt.Sprintf("/chat/long/%d", i))
		is.NoErr(err)
		is.Equal(data, eventsOf(1, 2, 3, 4, 5))
	}
	const streams = 8
	for i := range streams {
		joined(i)
	}
	is.Equal(opened, 1)
	s.script(begun)
	data, err := play("/chat/broken")
	is.True(err != nil) // the response must not look complete
	is.Equal(data, eventsOf(1, 2, 3))
	joined(streams)
	is.Equal(opened, 2)
}
