package tests

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/runworks/runworks/standin"
)

// platformDocument is the routing document on the site's store; %d is its version.
const platformDocument = `{"version": %d,
 "routes": [
  {"name": "quick", "host": "yard.example", "pathPrefix": "/safe/", "kind": "safe", "timeoutMs": 5000, "sloMs": 1000, "priority": 1, "service": "app", "maxAttempts": 2},
  {"name": "once", "host": "yard.example", "pathPrefix": "/once/", "kind": "unsafe", "timeoutMs": 5000, "sloMs": 1000, "priority": 1, "service": "app", "maxAttempts": 1},
  {"name": "open", "host": "yard.example", "pathPrefix": "/open/", "kind": "safe", "timeoutMs": 5000, "sloMs": 1000, "priority": 1, "service": "app", "maxAttempts": 2, "public": true},
  {"name": "chat", "host": "yard.example", "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 20000, "sloMs": 1000, "priority": 2, "service": "llm", "maxAttempts": 1, "gapTargetMs": 400},
  {"name": "long", "host": "yard.example", "pathPrefix": "/chat/long/", "kind": "streaming", "timeoutMs": 20000, "sloMs": 1000, "priority": 0, "service": "llm", "maxAttempts": 2, "resumable": true, "gapTargetMs": 400}],
 "services": [{"name": "app", "maxConns": 100, "healthPath": "/health"}, {"name": "llm", "maxConns": 100, "healthPath": "/health", "engine": {"slots": 8}}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
 "tenants": [{"name": "yard", "apiKeys": ["yard-key"], "unit": "tokens", "plainTokens": 200},
  {"name": "small", "apiKeys": ["small-key"], "unit": "tokens", "plainTokens": 200, "ratePerS": 10, "burst": 100},
  {"name": "busy", "apiKeys": ["busy-key"], "unit": "tokens", "plainTokens": 200, "ratePerS": 1000}]}`

// platformSite consists of fronts, backend servers and the store as separate processes.
type platformSite struct {
	*site
	store  *process
	fronts map[string]*process
	// halls holds the halls of the backend servers that are not in hall a.
	halls map[string]string
	// extraSettings are settings of the fronts beyond those of frontSettings, as YAML lines.
	extraSettings string
}

// newPlatformSite starts a store, two backend servers for each service, and fronts.
func newPlatformSite(t testing.TB, fronts ...string) *platformSite {
	t.Helper()
	p := newBarePlatformSite(t)
	p.putDocument()
	for _, name := range []string{"app-1", "app-2", "llm-1", "llm-2"} {
		p.addServer(name)
	}
	for _, name := range fronts {
		p.startFront(name)
	}
	for _, name := range fronts {
		p.waitReady(name, len(fronts))
	}
	return p
}

// newBarePlatformSite starts only a store.
func newBarePlatformSite(t testing.TB) *platformSite {
	t.Helper()
	p := &platformSite{site: &site{t: t, dir: t.TempDir(), backends: map[string]*process{}}, fronts: map[string]*process{}}
	p.store = startProcess(t, "store", "standin", "store")
	return p
}

// putDocument writes the first version of the document to the store.
func (p *platformSite) putDocument() {
	p.t.Helper()
	p.put("keyed.op", "config", fmt.Appendf(nil, platformDocument, 1))
}

// put writes a record as the platform does.
func (p *platformSite) put(topic, key string, value []byte) {
	p.t.Helper()
	query := url.Values{"topic": {topic}, "key": {key}}
	p.post("http://"+p.store.address("standin")+"/put?"+query.Encode(), value)
}

func (p *platformSite) post(target string, body []byte) {
	p.t.Helper()
	res, err := http.Post(target, "application/json", bytes.NewReader(body))
	if err != nil {
		p.t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		p.t.Fatalf("%s: %s", target, res.Status)
	}
}

// setFaults sets the faults of a stand-in.
func (p *platformSite) setFaults(of *process, faults any) {
	p.t.Helper()
	data, err := json.Marshal(faults)
	if err != nil {
		p.t.Fatal(err)
	}
	p.post("http://"+of.address("standin")+"/control", data)
}

// addServer starts a backend server, named after its service, and writes its record.
func (p *platformSite) addServer(name string, args ...string) {
	p.t.Helper()
	p.backends[name] = startProcess(p.t, name, "standin", append([]string{"routed", "--instance", name}, args...)...)
	p.listServer(name, "ready")
}

func (p *platformSite) listServer(name, state string) {
	p.t.Helper()
	p.put("keyed.servers", name, p.record(name, state, 0))
}

func (p *platformSite) frontSettings(name string) string {
	return knownSettings(fmt.Sprintf(`name: %s
hall: a
listen: 127.0.0.1:0
ready: 127.0.0.1:0
peers: 127.0.0.1:0
operators: 127.0.0.1:0
store: %s
fleet_keys: [%s]
grace: 6s
stop_notice: 1s
log_lines: 5000
retry_window: 1ms # as a fleet that has run for a while
%s`, name, p.store.address("standin"), processFleetKey, p.extraSettings))
}

// knownSettings returns settings without those that the program of the fronts does not know.
func knownSettings(text string) string {
	lines := slices.DeleteFunc(strings.SplitAfter(text, "\n"), func(line string) bool {
		setting, _, _ := strings.Cut(line, ":")
		return slices.Contains(strings.Split(*frontLacks, ","), setting) && setting != ""
	})
	return strings.Join(lines, "")
}

// proxiedSettings returns the settings of a front that reaches the store through a proxy, and that the
// other fronts reach through another one unless that is nil.
func (p *platformSite) proxiedSettings(name string, store, peers *proxy) string {
	text := strings.Replace(p.frontSettings(name), p.store.address("standin"), store.address(), 1)
	if peers != nil {
		text += "\npeers_advertised: " + peers.address() + "\n"
	}
	return knownSettings(text)
}

func (p *platformSite) startFront(name string) {
	p.t.Helper()
	p.fronts[name] = startProcess(p.t, name, "runworks", "front", "--settings", p.settingsFile(name, p.frontSettings(name)))
}

// startFronts starts fronts concurrently and waits until their readiness check succeeds.
func (p *platformSite) startFronts(names []string) string {
	p.t.Helper()
	for _, name := range names {
		p.startFront(name)
	}
	for _, name := range names {
		p.waitFor(name+" is ready", func() bool { return p.ready(name) == http.StatusOK })
	}
	return "ready\n"
}

// killFronts kills fronts concurrently with SIGKILL.
func (p *platformSite) killFronts(names []string) string {
	p.t.Helper()
	for _, name := range names {
		p.fronts[name].signal(syscall.SIGKILL)
	}
	for _, name := range names {
		p.fronts[name].waitExit()
	}
	return "ended\n"
}

// ready returns the status of the readiness check of a front, as the balancer requests it.
func (p *platformSite) ready(name string) int {
	return readyStatus(p.fronts[name])
}

// waitReady waits until a front is ready and knows all fronts and servers.
func (p *platformSite) waitReady(name string, fronts int) {
	p.t.Helper()
	p.waitFor(name+" is ready", func() bool {
		var status struct {
			Fronts  int               `json:"fronts"`
			Servers []json.RawMessage `json:"servers"`
		}
		return p.ready(name) == http.StatusOK && getJSON("http://"+p.fronts[name].address("operators")+"/status", &status) &&
			status.Fronts == fronts && len(status.Servers) == len(p.backends)
	})
}

// waitListed waits until front-1 lists a server in its status.
func (p *platformSite) waitListed(server string) {
	p.t.Helper()
	p.waitFor("the front knows "+server, func() bool {
		var status frontVersions
		return getJSON("http://"+p.fronts["front-1"].address("operators")+"/status", &status) && status.lists(server)
	})
}

// platformCall is one caller's request to a front.
type platformCall struct {
	id, method, target, key string
	header                  http.Header
	body                    []byte
}

// request returns the call's request; its body can't be read twice, so that the client never
// repeats it by itself.
func (c *platformCall) request(ctx context.Context, address string, timeout time.Duration) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+"/", io.NopCloser(bytes.NewReader(c.body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(c.body))
	path, query, _ := strings.Cut(c.target, "?")
	req.URL.Opaque, req.URL.RawQuery = path, query
	req.Host = "yard.example"
	for name, values := range c.header {
		req.Header[name] = values
	}
	req.Header.Set(standin.HeaderRoutedID, c.id)
	if c.key != "" {
		req.Header.Set("X-Credential", c.key)
	}
	if req.Header.Get("X-Timeout-Ms") == "" {
		req.Header.Set("X-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	}
	return req, nil
}

// do sends a call on its own connection and returns the whole response.
func (p *platformSite) do(front string, c platformCall) (*http.Response, []byte, error) {
	req, err := c.request(context.Background(), p.fronts[front].address("callers"), 10*time.Second)
	if err != nil {
		return nil, nil, err
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	res, err := transport.RoundTrip(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return res, data, err
}

// calls returns the calls that a backend server ran.
func (p *platformSite) calls(server string) []standin.RoutedCall {
	p.t.Helper()
	var out []standin.RoutedCall
	if !getJSON("http://"+p.backends[server].address("standin")+"/calls", &out) {
		p.t.Fatalf("%s: no calls", server)
	}
	return out
}

func (p *platformSite) writeSettings(name, text string) {
	p.t.Helper()
	if err := os.WriteFile(filepath.Join(p.dir, name+".yaml"), []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}
