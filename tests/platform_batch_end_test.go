package tests

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlatformStreamsThatEndInOneStepArrive guards against whole streams that are taken for cut as their server, of HTTP/1.0,
// runs them in common steps and ends several in one.
func TestPlatformStreamsThatEndInOneStepArrive(t *testing.T) {
	is := is.New(t)
	p := newBarePlatformSite(t)
	p.extraSettings = completeAtClose
	p.putDocument()
	p.backends["llm-1"] = startProcess(t, "llm-1", "standin", "routed", "--instance", "llm-1", "--http10", "--step", "50ms")
	p.listServer("llm-1", "ready")
	p.startFront("front-1")
	p.waitReady("front-1", 1)
	var lost atomic.Int32
	var work sync.WaitGroup
	for caller := range 6 {
		work.Go(func() {
			for i := range 5 {
				events := 2 + (caller+i)%3
				c := platformCall{id: fmt.Sprint(caller, "-", i), method: http.MethodPost, target: fmt.Sprintf("/chat/%d-%d?events=%d", caller, i, events), key: "yard-key"}
				if _, data, err := p.do("front-1", c); err != nil || string(data) != string(platformEvents(c.target, events)) {
					lost.Add(1)
				}
			}
		})
	}
	work.Wait()
	is.Equal(lost.Load(), int32(0))
}

// TestPlatformStreamsCutByFullServerAreNotComplete guards against streams that look complete because their server, which
// closes all connections at once, had none to spare whose close shows that.
func TestPlatformStreamsCutByFullServerAreNotComplete(t *testing.T) {
	is := is.New(t)
	const streams = 3
	p := newLivingSite(t, "", 0, func(*livingServer) {}, "llm-1")
	s := p.servers["llm-1"]
	cut := make(chan struct{})
	s.set(func() { s.held = cut })
	p.cuts.Store(streams)
	var bodies []io.ReadCloser
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	for n := range streams {
		c := livingCall(fmt.Sprint("cut-", n), "/chat/cut", "")
		req, err := c.request(t.Context(), p.fronts["front-1"].address("callers"), 10*time.Second)
		is.NoErr(err)
		res, err := transport.RoundTrip(req)
		is.NoErr(err)
		t.Cleanup(func() { _ = res.Body.Close() })
		_, err = io.ReadFull(res.Body, make([]byte, len(livingPart(1, livingCut))))
		is.NoErr(err)
		bodies = append(bodies, res.Body)
	}
	s.resetUnused()
	p.wait(100 * time.Millisecond) // the server sends nothing before it closes them
	close(cut)
	for _, body := range bodies {
		_, err := io.ReadAll(body)
		is.True(err != nil) // the response must not look complete
	}
}

// resetUnused resets the connections that run no call.
func (s *livingServer) resetUnused() {
	s.set(func() {
		for c, runs := range s.conns {
			if !runs {
				reset(c)
			}
		}
	})
}

// TestPlatformFirstResponsesArrive guards against whole responses that are taken for cut as they are the first of their server,
// and begin and end together.
func TestPlatformFirstResponsesArrive(t *testing.T) {
	is := is.New(t)
	var ids []string
	for n := range 8 {
		ids = append(ids, fmt.Sprint("app-", n))
	}
	p := newLivingSite(t, completeAtClose, 0, nil, ids...)
	var lost atomic.Int32
	var work sync.WaitGroup
	for n := range 3 * len(ids) {
		work.Go(func() {
			res, data, err := p.do("front-1", livingCall(fmt.Sprint("first-", n), "/once/1", ""))
			if err != nil || res.StatusCode != http.StatusOK || string(data) != string(livingBody("text/plain")) {
				lost.Add(1)
			}
		})
	}
	work.Wait()
	is.Equal(lost.Load(), int32(0))
}
