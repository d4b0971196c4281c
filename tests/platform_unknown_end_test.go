package tests

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks/standin"
)

// successors are the processes that listen at the address of a server that was killed, by what they do with
// a connection.
var successors = map[string]func(t *testing.T) string{
	"resets":              func(t *testing.T) string { return acceptEach(t, reset) },
	"is silent":           func(t *testing.T) string { return acceptEach(t, discard) },
	"does not speak HTTP": func(t *testing.T) string { return acceptEach(t, respond("ready\r\n")) },
	"responds without an ID": func(t *testing.T) string {
		return acceptEach(t, respond("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"))
	},
	"is another server, and slow":  func(t *testing.T) string { return startSuccessor(t, 1500) },
	"is another server that hangs": func(t *testing.T) string { return startSuccessor(t, 60_000) },
}

// acceptEach returns the address of a listener that passes each connection to serve.
func acceptEach(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

func discard(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

func respond(text string) func(net.Conn) {
	return func(c net.Conn) {
		_, _ = io.WriteString(c, text)
		discard(c)
	}
}

// startSuccessor starts a server whose status requests wait, and returns its address.
func startSuccessor(t *testing.T, waitMs int) string {
	t.Helper()
	s := startProcess(t, "successor", "standin", "routed", "--instance", "successor")
	p := &platformSite{site: &site{t: t}}
	p.setFaults(s, standin.RoutedFaults{StatusWaitMs: waitMs})
	return s.address("standin")
}

// succeed holds up the path to the server of a backend, kills it, and opens the path to another process.
func (p *closeDelimitedSite) succeed(name string, path *proxy, address string) {
	p.t.Helper()
	path.set(proxyBlocksBoth)
	p.backends[name].signal(syscall.SIGKILL)
	p.backends[name].waitExit()
	path.setTarget(address)
	path.set(proxyForwards)
}

// TestPlatformUnconfirmedStreamIsNotComplete guards against a cut stream that looks complete because the
// process that listens at its server's address does not say which server it is.
func TestPlatformUnconfirmedStreamIsNotComplete(t *testing.T) {
	for name, start := range successors {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, path := newCloseDelimitedCutSite(t, 0, completeAtClose)
			res := p.beginStream()
			p.succeed("llm-1", path, start(t))
			_, err := io.ReadAll(res.Body)
			is.New(t).True(err != nil) // the response must not look complete
		})
	}
}

// TestPlatformUnconfirmedStreamIsResumed guards against a resumable stream that ends early although another
// server could continue it.
func TestPlatformUnconfirmedStreamIsResumed(t *testing.T) {
	for name, start := range successors {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p, path := newCloseDelimitedCutSite(t, 0, completeAtClose)
			res := p.beginResumableStream()
			p.succeed("llm-1", path, start(t))
			_, err := io.ReadAll(res.Body)
			is.NoErr(err)
			is.Equal(res.events(), string(platformEvents(resumableTarget, 100)))
		})
	}
}

// TestPlatformStreamOfSilentServerIsWhole guards against a whole stream that its caller takes for a cut one
// because its server is too full to say that it has ended it.
func TestPlatformStreamOfSilentServerIsWhole(t *testing.T) {
	is := is.New(t)
	p, _ := newCloseDelimitedCutSite(t, 0, completeAtClose)
	p.setFaults(p.backends["llm-1"], standin.RoutedFaults{CloseDelimited: true, StatusWaitMs: 60_000})
	res := p.beginResumableStream()
	_, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.Equal(res.events(), string(platformEvents(resumableTarget, 100)))
	is.Equal(p.calls("llm-2")[0].LastEvent, "100") // the other server has nothing to add
}

const resumableTarget = "/chat/long/1?events=100"

// recordedResponse keeps what is read of its body.
type recordedResponse struct {
	*http.Response
	read bytes.Buffer
}

func (r *recordedResponse) events() string { return r.read.String() }

// beginResumableStream begins a stream of 100 events at the only server, reads the first one and lists a second
// server.
func (p *closeDelimitedSite) beginResumableStream() *recordedResponse {
	p.t.Helper()
	is := is.New(p.t)
	res, err := p.begin(platformCall{id: "stream", method: http.MethodPost, target: resumableTarget, key: "yard-key"})
	is.NoErr(err)
	p.t.Cleanup(func() { _ = res.Body.Close() })
	out := &recordedResponse{Response: res}
	out.Body = io.NopCloser(io.TeeReader(res.Body, &out.read))
	_, err = io.ReadFull(out.Body, make([]byte, len(standin.RoutedEvent(resumableTarget, 1))))
	is.NoErr(err)
	p.startServer("llm-2", "llm-2", "127.0.0.1:0", time.Millisecond)
	p.listServer("llm-2", "ready")
	p.waitListed("llm-2")
	return out
}

// TestPlatformUnconfirmedAnswerIsNotComplete guards against half an answer that looks complete because the
// process that listens at its server's address does not say which server it is.
func TestPlatformUnconfirmedAnswerIsNotComplete(t *testing.T) {
	for name, start := range successors {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := newCloseDelimitedSite(t, nil)
			p.startServer("app-1", "app-1", "127.0.0.1:0", 700*time.Millisecond)
			path := newProxy(t, p.backends["app-1"].address("standin"))
			p.list("app-1", path.address(), 0)
			p.waitListed("app-1")
			successor := start(t) // a process takes longer to start beside load than the answer lasts
			done := make(chan int, 1)
			go func() {
				res, data, err := p.do("front-1", platformCall{id: "half", method: http.MethodPost, target: "/once/1", key: "yard-key"})
				if err != nil {
					t.Errorf("%v after %q", err, data)
					done <- 0
					return
				}
				done <- res.StatusCode
			}()
			p.waitFor("half of the answer is sent", func() bool {
				runs := routedRuns(t, p.backends["app-1"])
				return len(runs) == 1 && !runs[0].Halved.IsZero()
			})
			p.succeed("app-1", path, successor)
			is.Equal(<-done, http.StatusBadGateway) // it has run, and its answer is lost
		})
	}
}

// TestPlatformResponseOfOnlyServerIsWhole guards against a whole response that is lost because its server, the
// only one, is asked too briefly whether it has ended it.
func TestPlatformResponseOfOnlyServerIsWhole(t *testing.T) {
	p := newCloseDelimitedSite(t, map[string]time.Duration{"app-1": time.Millisecond, "llm-1": time.Millisecond})
	for _, server := range p.backends {
		p.setFaults(server, standin.RoutedFaults{CloseDelimited: true, StatusWaitMs: 800})
	}
	for _, one := range []platformCall{
		{id: "stream", method: http.MethodPost, target: "/chat/1?events=20", key: "yard-key"},
		{id: "resumable", method: http.MethodPost, target: resumableTarget, key: "yard-key"},
		{id: "unsafe", method: http.MethodPost, target: "/once/1", key: "yard-key"},
		{id: "safe", method: http.MethodGet, target: "/safe/1", key: "yard-key"},
	} {
		t.Run(one.id, func(t *testing.T) {
			is := is.New(t)
			began := time.Now()
			res, err := p.begin(one)
			is.NoErr(err)
			data, err := io.ReadAll(res.Body)
			t.Logf("%d, %d bytes, %v after %v", res.StatusCode, len(data), err, time.Since(began))
			is.NoErr(err)
			is.Equal(res.StatusCode, http.StatusOK)
		})
	}
}
