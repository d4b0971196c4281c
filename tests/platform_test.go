package tests

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/runworks/runworks/standin"
)

// platformTargets are the paths of the five kinds of call; %d is the call's number.
var platformTargets = []struct {
	method, target, key string
	events              int
}{
	{http.MethodGet, "/safe/a%%2fb/%d", "yard-key", 0},
	{http.MethodPost, "/once/x%%2F..%%2f%d?q=%%20&r", "yard-key", 0},
	{http.MethodGet, "/open//%d/", "", 0},
	{http.MethodPost, "/chat/%d?events=7", "yard-key", 7},
	{http.MethodPost, "/chat/long/%%41/%d?events=9", "yard-key", 9},
}

// TestPlatformCalls sends 200 calls of all five kinds at once through two fronts
// to separate processes, while servers turn calls away and send answers that
// belong to nobody, and compares each answer with its own request.
func TestPlatformCalls(t *testing.T) {
	is := is.New(t)
	p := newPlatformSite(t, "front-1", "front-2")
	p.setFaults(p.backends["app-1"], standin.RoutedFaults{Reject: 4, Unsolicited: 6})
	p.setFaults(p.backends["app-2"], standin.RoutedFaults{Unsolicited: 3})
	p.setFaults(p.backends["llm-1"], standin.RoutedFaults{Reject: 3})
	const calls = 200
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() { p.checkCall(t, i) })
	}
	wg.Wait()
	ran := map[string]int{}
	for name := range p.backends {
		for _, one := range p.calls(name) {
			ran[one.ID]++
			is.Equal(one.Header.Get("X-Credential"), "")          // the key stays here
			is.Equal(one.Header.Get("Accept-Encoding"), "")       // nothing is added
			is.Equal(one.Header.Get("X-Kv-Hold"), "")             // only runworks may set it
			is.Equal(one.Header.Get("X-Caller-Word"), "kept")     // the rest goes on
			is.Equal(one.Header.Get("X-Only-Here"), "")           // named by Connection
			is.True(one.Customer == "yard" || one.Customer == "") // never the caller's own word
		}
	}
	is.Equal(len(ran), calls)
	for id, n := range ran {
		if n != 1 {
			t.Errorf("call %s ran %d times", id, n)
		}
	}
}

// checkCall sends the call of a number and compares its answer.
func (p *platformSite) checkCall(t *testing.T, i int) {
	kind := platformTargets[i%len(platformTargets)]
	c := platformCall{id: fmt.Sprintf("call-%03d", i), method: kind.method, target: fmt.Sprintf(kind.target, i), key: kind.key}
	c.header = http.Header{
		"X-Tenant-Id": {"somebody"}, "X-Kv-Hold": {"1"}, "X-Caller-Word": {"kept"},
		"X-Only-Here": {"no"}, "Connection": {"X-Only-Here"},
	}
	if c.method == http.MethodPost {
		c.body = bytes.Repeat([]byte{byte(i)}, 1+i*97)
	}
	res, data, err := p.do([]string{"front-1", "front-2"}[i%2], c)
	if err != nil {
		t.Errorf("%s: %v", c.id, err)
		return
	}
	want := standin.RoutedResponseBody(c.id, c.method, c.target, c.body)
	if kind.events > 0 {
		want = nil
		for n := 1; n <= kind.events; n++ {
			want = append(want, standin.RoutedEvent(c.target, n)...)
		}
	}
	if res.StatusCode != http.StatusOK || !bytes.Equal(data, want) || res.Header.Get(standin.HeaderRoutedID) != c.id {
		t.Errorf("%s %s: %s, id %q, body %q, not %q", c.id, c.target, res.Status, res.Header.Get(standin.HeaderRoutedID), data, want)
	}
	if res.Header.Get(standin.HeaderRoutedSignature) == "" {
		t.Errorf("%s: no signature", c.id)
	}
}

// TestPlatformFailures breaks answers off and sees that nothing looks whole that
// is not, that what may run once runs once, and that a resumable stream goes on.
func TestPlatformFailures(t *testing.T) {
	is := is.New(t)
	p := newPlatformSite(t, "front-1")
	for _, name := range []string{"app-1", "app-2"} {
		p.setFaults(p.backends[name], standin.RoutedFaults{Unframed: 1})
	}
	res, _, err := p.do("front-1", platformCall{id: "cut", method: http.MethodPost, target: "/once/cut", key: "yard-key"})
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusBadGateway) // ran, and broke off: no promise that it did not run
	res, data, err := p.do("front-1", platformCall{id: "again", method: http.MethodGet, target: "/safe/again", key: "yard-key"})
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK) // repeatable: the other server answers, or this one again
	is.Equal(string(data), string(standin.RoutedResponseBody("again", http.MethodGet, "/safe/again", nil)))
	for _, name := range []string{"llm-1", "llm-2"} {
		p.setFaults(p.backends[name], standin.RoutedFaults{BreakAt: 4, Breaks: 1})
	}
	_, data, err = p.do("front-1", platformCall{id: "stream", method: http.MethodPost, target: "/chat/1?events=6", key: "yard-key"})
	is.True(err != nil) // the answer must not look whole
	is.Equal(strings.Count(string(data), "\n\n"), 3)
	is.True(strings.HasSuffix(string(data), "\n\n")) // whole events only
	target := "/chat/long/2?events=6"
	res, data, err = p.do("front-1", platformCall{id: "resumed", method: http.MethodPost, target: target, key: "yard-key"})
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	for n := 1; n <= 6; n++ {
		is.True(strings.Contains(string(data), string(standin.RoutedEvent(target, n))))
	}
	is.Equal(strings.Count(string(data), "\n\n"), 6)
}

// TestPlatformRefusals sends calls that are refused, from a data file: method,
// target, key, size of the body and of a header; the answer's status, whether it
// says when to come back, and what the log tells.
func TestPlatformRefusals(t *testing.T) {
	p := newPlatformSite(t, "front-1")
	n := 0
	datadriven.RunTest(t, "testdata/platform/refusals", func(t *testing.T, d *datadriven.TestData) string {
		n++
		c := platformCall{id: fmt.Sprintf("refused-%d", n), method: d.Cmd, header: http.Header{}}
		var bodyBytes, headerBytes int
		d.ScanArgs(t, "target", &c.target)
		d.MaybeScanArgs(t, "key", &c.key)
		d.MaybeScanArgs(t, "body", &bodyBytes)
		d.MaybeScanArgs(t, "header", &headerBytes)
		c.body = make([]byte, bodyBytes)
		if headerBytes > 0 {
			c.header.Set("X-Long", strings.Repeat("x", headerBytes))
		}
		var tokens string
		if d.MaybeScanArgs(t, "tokens", &tokens) {
			c.header.Set("X-Token-Counts", tokens+",0")
		}
		res, _, err := p.do("front-1", c)
		if err != nil {
			t.Fatal(err)
		}
		return fmt.Sprintf("%d retry-after=%t\n", res.StatusCode, res.Header.Get("Retry-After") != "")
	})
}

// TestPlatformStoreDownAtStart starts a front while the store is down: it is not
// ready, refuses calls as not run, and serves once the store is back.
func TestPlatformStoreDownAtStart(t *testing.T) {
	is := is.New(t)
	p := newBarePlatformSite(t)
	p.putDocument()
	p.addServer("app-1")
	p.setFaults(p.store, standin.StoreFaults{Down: true})
	p.startFront("front-1")
	p.waitFor("the loss of the store is logged", func() bool {
		return strings.Contains(p.fronts["front-1"].outputText(), `"@message":"dependency lost"`)
	})
	is.Equal(p.ready("front-1"), http.StatusServiceUnavailable)
	c := platformCall{id: "early", method: http.MethodGet, target: "/safe/1", key: "yard-key"}
	res, _, err := p.do("front-1", c)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.True(res.Header.Get("Retry-After") != "")
	p.setFaults(p.store, standin.StoreFaults{})
	p.waitReady("front-1", 1)
	res, _, err = p.do("front-1", c)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	p.waitFor("the store's return is logged", func() bool {
		return strings.Contains(p.fronts["front-1"].outputText(), `"@message":"dependency regained"`)
	})
}

// TestPlatformChanges puts bad and good documents and server lists on the store: a
// bad document leaves the one in force, a key taken away is refused, a server that
// leaves gets nothing more.
func TestPlatformChanges(t *testing.T) {
	is := is.New(t)
	p := newPlatformSite(t, "front-1", "front-2")
	front := p.fronts["front-1"]
	p.put("keyed.op", "config", []byte("{not json"))
	p.waitFor("the refusal is logged", func() bool { return strings.Count(front.outputText(), "routing refused") == 1 })
	p.put("keyed.op", "config", []byte(`{"version": 2, "routes": [{"name": "r", "pathPrefix": "/safe/", "kind": "safe", "service": "nowhere"}]}`))
	p.waitFor("the refusal is logged", func() bool { return strings.Count(front.outputText(), "routing refused") == 2 })
	c := platformCall{id: "in-force", method: http.MethodGet, target: "/safe/1", key: "yard-key"}
	res, _, err := p.do("front-1", c)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK) // the document in force stays
	p.listServer("app-1", "draining")
	p.waitFor("the leaving is logged", func() bool { return strings.Contains(front.outputText(), "backend server draining or removed") })
	before := len(p.calls("app-1"))
	for i := range 20 {
		c.id = fmt.Sprintf("after-%d", i)
		_, _, err := p.do("front-1", c)
		is.NoErr(err)
	}
	is.Equal(len(p.calls("app-1")), before)
	document := strings.ReplaceAll(fmt.Sprintf(platformDocument, 3), "yard-key", "new-key")
	p.put("keyed.op", "config", []byte(document))
	for _, name := range []string{"front-1", "front-2"} {
		p.waitFor("the key is refused at "+name, func() bool {
			res, _, err := p.do(name, c)
			return err == nil && res.StatusCode == http.StatusUnauthorized
		})
	}
}

// TestPlatformPlannedStop stops a front while it passes streams on: it turns red
// at once, goes on taking calls, cuts none, and ends by itself.
func TestPlatformPlannedStop(t *testing.T) {
	is := is.New(t)
	p := newBarePlatformSite(t)
	p.putDocument()
	p.addServer("app-1")
	p.addServer("llm-1", "--delay", "50ms")
	p.startFront("front-1")
	p.waitReady("front-1", 1)
	var wg sync.WaitGroup
	for i := range 5 {
		wg.Go(func() {
			target := fmt.Sprintf("/chat/%d?events=40", i)
			_, data, err := p.do("front-1", platformCall{id: fmt.Sprintf("stream-%d", i), method: http.MethodPost, target: target, key: "yard-key"})
			if err != nil || strings.Count(string(data), "\n\n") != 40 {
				t.Errorf("stream %d: %v, %d events", i, err, strings.Count(string(data), "\n\n"))
			}
		})
	}
	p.waitFor("the streams run", func() bool { return len(p.calls("llm-1")) == 5 })
	p.fronts["front-1"].signal(syscall.SIGTERM)
	p.waitFor("the front is red", func() bool { return p.ready("front-1") == http.StatusServiceUnavailable })
	res, _, err := p.do("front-1", platformCall{id: "late", method: http.MethodGet, target: "/safe/1", key: "yard-key"})
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	is.True(res.Close) // the caller is asked to leave
	wg.Wait()
	p.fronts["front-1"].waitExit()
	is.True(strings.Contains(p.fronts["front-1"].outputText(), `"@message":"stopped"`))
}

// TestPlatformReload changes the settings file: bad settings leave those in force,
// and no call is cut.
func TestPlatformReload(t *testing.T) {
	p := newPlatformSite(t, "front-1")
	front := p.fronts["front-1"]
	good := p.frontSettings("front-1")
	p.writeSettings("front-1", good+"retry_ratio: 7\n")
	front.signal(syscall.SIGHUP)
	p.waitFor("the refusal is logged", func() bool { return strings.Contains(front.outputText(), "settings refused") })
	p.writeSettings("front-1", good+"retry_ratio: 0.3\n")
	front.signal(syscall.SIGHUP)
	p.waitFor("the reading is logged", func() bool { return strings.Contains(front.outputText(), "settings reloaded") })
	if p.ready("front-1") != http.StatusOK {
		t.Error("the front is not ready any more")
	}
}

// TestPlatformCallerLeaves closes a caller's connection and sees the backend
// server's work end.
func TestPlatformCallerLeaves(t *testing.T) {
	is := is.New(t)
	p := newBarePlatformSite(t)
	p.putDocument()
	p.addServer("llm-1", "--delay", "20ms")
	p.startFront("front-1")
	p.waitReady("front-1", 1)
	req, err := http.NewRequest(http.MethodPost, "http://"+p.fronts["front-1"].address("callers")+"/chat/1?events=100000", nil)
	is.NoErr(err)
	req.Host = "yard.example"
	req.Header.Set(standin.HeaderRoutedID, "leaves")
	req.Header.Set("X-Credential", "yard-key")
	transport := &http.Transport{DisableKeepAlives: true}
	res, err := transport.RoundTrip(req)
	is.NoErr(err)
	buffer := make([]byte, 10)
	_, err = res.Body.Read(buffer)
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	left := time.Now()
	p.waitFor("the server's work ends", func() bool {
		var status struct {
			Servers []struct {
				Own int `json:"own"`
			} `json:"servers"`
		}
		return getJSON("http://"+p.fronts["front-1"].address("operators")+"/status", &status) && len(status.Servers) == 1 && status.Servers[0].Own == 0
	})
	is.True(time.Since(left) < 5*time.Second)
}

// TestPlatformStopTakesNoLateStreams stops a front with the settings' defaults: it takes
// streams until a balancer that asks each second has had two misses, and none that is sent
// three seconds after the signal, as those would have to be over before its end.
func TestPlatformStopTakesNoLateStreams(t *testing.T) {
	is := is.New(t)
	p := newBarePlatformSite(t)
	p.putDocument()
	p.addServer("app-1")
	p.addServer("llm-1", "--delay", "10ms")
	text := strings.Replace(p.frontSettings("front-1"), "stop_notice: 1s\n", "", 1)
	p.fronts["front-1"] = startProcess(t, "front-1", "runworks", "front", "--settings", p.settingsFile("front-1", text))
	p.waitReady("front-1", 1)
	// A front with nothing under way ends at once: one long stream keeps it answering.
	held := make(chan struct{})
	go func() {
		defer close(held)
		_, _, _ = p.do("front-1", platformCall{id: "held", method: http.MethodPost, target: "/chat/held?events=380", key: "yard-key"})
	}()
	p.waitFor("the long stream runs", func() bool { return len(p.calls("llm-1")) == 1 })
	p.fronts["front-1"].signal(syscall.SIGTERM)
	signalled := time.Now()
	var last time.Duration
	for n := 0; ; n++ {
		sent := time.Since(signalled)
		res, _, err := p.do("front-1", platformCall{id: fmt.Sprint("late-", n), method: http.MethodPost, target: "/chat/1?events=2", key: "yard-key"})
		is.NoErr(err)
		if res.StatusCode == http.StatusServiceUnavailable {
			is.True(res.Header.Get("Retry-After") != "")
			break
		}
		is.Equal(res.StatusCode, http.StatusOK)
		last = sent
	}
	is.True(last > 2*time.Second)
	is.True(last < 2800*time.Millisecond)
	<-held
	p.fronts["front-1"].waitExit()
}
