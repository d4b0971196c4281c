package tests

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks/standin"
)

// completeAtClose has fronts count the ends of connections as those of responses, while the server says that it runs.
const completeAtClose = "complete_at_close: [app, llm]\n"

// closeDelimitedSite is a site with one front and one server for each service, whose responses have
// neither a length nor chunks.
type closeDelimitedSite struct {
	*platformSite
}

// newCloseDelimitedSite starts a site.
func newCloseDelimitedSite(t *testing.T, delays map[string]time.Duration) *closeDelimitedSite {
	t.Helper()
	p := &closeDelimitedSite{newBarePlatformSite(t)}
	p.extraSettings = completeAtClose
	p.putDocument()
	for name, delay := range delays {
		p.startServer(name, name, "127.0.0.1:0", delay)
		p.listServer(name, "ready")
	}
	p.startFront("front-1")
	p.waitReady("front-1", 1)
	return p
}

// startServer starts a server with an ID as the backend name of the site.
func (p *closeDelimitedSite) startServer(name, id, address string, delay time.Duration) {
	p.t.Helper()
	p.backends[name] = startProcess(p.t, id, "standin", "routed", "--instance", id, "--delay", delay.String(), "--listen", address)
	p.setFaults(p.backends[name], standin.RoutedFaults{CloseDelimited: true})
}

// list writes the record of a server at an address.
func (p *closeDelimitedSite) list(id, address string, generation int64) {
	p.t.Helper()
	service, _, _ := strings.Cut(id, "-")
	p.put("keyed.servers", id, serverRecord(service, address, "ready", generation))
}

// replace kills the server of a backend and starts one with an ID at its address.
func (p *closeDelimitedSite) replace(name, id string) {
	p.t.Helper()
	address := p.backends[name].address("standin")
	p.backends[name].signal(syscall.SIGKILL)
	p.backends[name].waitExit()
	p.startServer(name, id, address, 0)
}

// begin sends a call and returns its response, whose body the test reads on.
func (p *closeDelimitedSite) begin(c platformCall) (*http.Response, error) {
	req, err := c.request(context.Background(), p.fronts["front-1"].address("callers"), 10*time.Second)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	p.t.Cleanup(transport.CloseIdleConnections)
	return transport.RoundTrip(req)
}

// beginStream begins a stream of 100 events and reads the first one.
func (p *closeDelimitedSite) beginStream() *http.Response {
	p.t.Helper()
	is := is.New(p.t)
	res, err := p.begin(platformCall{id: "stream", method: http.MethodPost, target: "/chat/1?events=100", key: "yard-key"})
	is.NoErr(err)
	p.t.Cleanup(func() { _ = res.Body.Close() })
	first := make([]byte, len(standin.RoutedEvent("/chat/1?events=100", 1)))
	_, err = io.ReadFull(res.Body, first)
	is.NoErr(err)
	return res
}

// checkCut checks that the rest of a stream does not look complete.
func (p *closeDelimitedSite) checkCut(res *http.Response, found string) {
	p.t.Helper()
	is := is.New(p.t)
	_, err := io.ReadAll(res.Body)
	is.True(err != nil) // the response must not look complete
	p.waitFor("the call is logged", func() bool { return p.countLogLines("front-1", `"call ended"`, `"server_at_end"`) == 1 })
	is.Equal(p.countLogLines("front-1", `"call ended"`, fmt.Sprintf(`"server_at_end":%q`, found)), 1)
}

// TestPlatformStreamOfReplacedServerIsNotComplete guards against a stream that looks complete because
// another process listens at its server's address when the front reads its end.
func TestPlatformStreamOfReplacedServerIsNotComplete(t *testing.T) {
	t.Run("behind a cut", func(t *testing.T) {
		p, path := newCloseDelimitedCutSite(t, 0, completeAtClose)
		res := p.beginStream()
		path.set(proxyBlocksBoth)
		p.replace("llm-1", "llm-2")
		p.list("llm-2", path.address(), 0)
		path.set(proxyForwards)
		p.checkCut(res, "replaced")
	})
	t.Run("behind a cut, under the same ID", func(t *testing.T) {
		p, path := newCloseDelimitedCutSite(t, 1, completeAtClose)
		res := p.beginStream()
		path.set(proxyBlocksBoth)
		p.replace("llm-1", "llm-1")
		p.list("llm-1", path.address(), 2)
		p.waitFor("the front knows the restart", func() bool { return p.countLogLines("front-1", "backend server restarted") > 0 })
		path.set(proxyForwards)
		_, err := io.ReadAll(res.Body)
		is.New(t).True(err != nil) // the response must not look complete
	})
	t.Run("while the front is stopped", func(t *testing.T) {
		p := newCloseDelimitedSite(t, map[string]time.Duration{"llm-1": 20 * time.Millisecond})
		res := p.beginStream()
		p.fronts["front-1"].signal(syscall.SIGSTOP)
		p.replace("llm-1", "llm-2")
		p.list("llm-2", p.backends["llm-1"].address("standin"), 0)
		p.fronts["front-1"].signal(syscall.SIGCONT)
		p.checkCut(res, "replaced")
	})
}

// newCloseDelimitedCutSite starts a site whose server of streams is reached through a proxy, and whose front has more
// settings.
func newCloseDelimitedCutSite(t *testing.T, generation int64, settings string) (*closeDelimitedSite, *proxy) {
	t.Helper()
	p := &closeDelimitedSite{newBarePlatformSite(t)}
	p.extraSettings = settings
	p.putDocument()
	p.startServer("llm-1", "llm-1", "127.0.0.1:0", 20*time.Millisecond)
	path := newProxy(t, p.backends["llm-1"].address("standin"))
	p.list("llm-1", path.address(), generation)
	p.startFront("front-1")
	p.waitReady("front-1", 1)
	return p, path
}

// TestPlatformAnswerOfReplacedServerIsNotComplete guards against half an answer that looks complete because
// another process listens at its server's address when the front reads its end.
func TestPlatformAnswerOfReplacedServerIsNotComplete(t *testing.T) {
	is := is.New(t)
	p := newCloseDelimitedSite(t, map[string]time.Duration{"app-1": 300 * time.Millisecond})
	front := p.fronts["front-1"]
	status := make(chan int, 1)
	go func() {
		res, data, err := p.do("front-1", platformCall{id: "half", method: http.MethodPost, target: "/once/1", key: "yard-key"})
		if err != nil {
			t.Errorf("%v after %q", err, data)
			status <- 0
			return
		}
		status <- res.StatusCode
	}()
	p.waitFor("the server runs the call", func() bool { return len(p.calls("app-1")) == 1 })
	front.signal(syscall.SIGSTOP)
	p.waitFor("half of the answer is sent", func() bool {
		runs := routedRuns(t, p.backends["app-1"])
		return len(runs) == 1 && !runs[0].Halved.IsZero()
	})
	p.replace("app-1", "app-2")
	front.signal(syscall.SIGCONT)
	is.Equal(<-status, http.StatusBadGateway) // it has run, and its answer is lost
}

// TestPlatformCloseDelimitedResponsesArrive guards against whole responses without length or chunks that
// are taken for cut ones.
func TestPlatformCloseDelimitedResponsesArrive(t *testing.T) {
	for _, c := range []struct {
		name, found string
		during      func(p *closeDelimitedSite)
	}{
		{"the servers run on", "same", func(*closeDelimitedSite) {}},
		{"they have left the list", "same", func(p *closeDelimitedSite) {
			for name := range p.backends {
				p.put("keyed.servers", name, nil)
				p.waitFor(name+" is dropped", func() bool {
					return p.countLogLines("front-1", "backend server draining or removed", fmt.Sprintf("%q", name)) == 1
				})
			}
		}},
		{"they are full for some time", "same", func(p *closeDelimitedSite) {
			for _, backend := range p.backends {
				p.setFaults(backend, standin.RoutedFaults{CloseDelimited: true, StatusWaitMs: 800})
			}
		}},
		{"the store is away", "same", func(p *closeDelimitedSite) {
			p.store.signal(syscall.SIGKILL)
			p.store.waitExit()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newCloseDelimitedSite(t, map[string]time.Duration{"llm-1": 100 * time.Millisecond, "app-1": time.Second})
			var both sync.WaitGroup
			for target, want := range map[string][]byte{
				"/chat/1?events=20": platformEvents("/chat/1?events=20", 20),
				"/once/1":           standin.RoutedResponseBody("/once/1", http.MethodPost, "/once/1", nil),
			} {
				both.Go(func() {
					res, data, err := p.do("front-1", platformCall{id: target, method: http.MethodPost, target: target, key: "yard-key"})
					if err != nil || res.StatusCode != http.StatusOK || !bytes.Equal(data, want) {
						t.Errorf("%s: %v, %q", target, err, data)
					}
				})
			}
			p.waitFor("both calls run", func() bool { return len(p.calls("llm-1"))+len(p.calls("app-1")) == 2 })
			c.during(p)
			for name := range p.backends {
				is.True(!allEnded(routedRuns(t, p.backends[name]))) // the change came during the call
			}
			both.Wait()
			p.waitFor("both calls are logged", func() bool { return p.countLogLines("front-1", `"call ended"`) == 2 })
			is.Equal(p.countLogLines("front-1", `"call ended"`, fmt.Sprintf(`"server_at_end":%q`, c.found)), 2)
			for name := range p.backends {
				is.Equal(len(p.calls(name)), 1) // the front's question runs nothing
			}
		})
	}
}
