package tests

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/daemon"
	"github.com/runworks/runworks/modules/setting"
	"github.com/runworks/runworks/services/agent"
	"github.com/runworks/runworks/services/config"
	"github.com/runworks/runworks/services/entry"
	"github.com/runworks/runworks/standin"
	"github.com/runworks/runworks/standin/memnet"
)

// connCloseTime is longer than any time for which net/http waits for a closed connection.
const connCloseTime = 30 * time.Second

const (
	simKey      = "world-key"
	simModel    = "world-model"
	simFleetKey = "world-fleet-key-0123"
)

// simCluster is a whole system in one synctest bubble, and so in virtual time: the real entries
// and agents, connected by an in-memory network, with stand-ins for backend servers and the
// platform.
type simCluster struct {
	t    *testing.T
	spec simSpec
	// fakes are the engines of TestMeasure, by server.
	fakes map[string]*fakeEngine
	net   *memnet.Network
	log   *standin.Log
	hosts *standin.Hosts
	// tracer records the spans of all entries and agents; nil records none.
	tracer trace.Tracer
	cfg    *runworks.Config

	mu      sync.Mutex
	engines map[string]*standin.Engine
	plains  map[string]*standin.PlainService
	agents  map[string]*instance[*daemon.Agent]
	entries map[string]*instance[*daemon.Entry]
	wg      sync.WaitGroup
	servers []*http.Server
	clients []*http.Transport
}

// instance is a running entry or agent. Closing stop begins a planned stop, kill cancels its
// context, and done is closed after it has returned.
type instance[T any] struct {
	daemon T
	kill   context.CancelFunc
	stop   chan struct{}
	done   chan struct{}
}

// engineSpec describes one stand-in engine of a simCluster.
type engineSpec struct {
	name  string
	slots int
	// prefill and decode are in tokens per second.
	prefill, decode float64
}

// simSpec describes a simCluster.
type simSpec struct {
	engines []engineSpec
	plains  []string
	entries []string
	latency time.Duration
	tracer  trace.Tracer
	// maxWaiting limits the reservations at each agent; 0 is the default.
	maxWaiting int
	// connect returns the backend of a server; nil is HTTP to the stand-ins.
	connect func(server string) runworks.Backend
	// heartbeatInterval is the time between an agent's heartbeats; 0 is the default.
	heartbeatInterval time.Duration
	// picker chooses the agents that get a reservation; nil is the default.
	picker runworks.Picker
	// onShed is called with each request that is shed.
	onShed func(*runworks.Request)
	// edit changes the configuration before it is applied.
	edit func(*runworks.Config)
}

var smallSpec = simSpec{
	engines: []engineSpec{{"e1", 2, 4000, 40}, {"e2", 4, 8000, 80}, {"e3", 4, 16000, 160}},
	plains:  []string{"p1", "p2"},
	entries: []string{"entry-1", "entry-2"},
	latency: 500 * time.Microsecond,
}

// newSimCluster starts a cluster and waits until its entries and agents are connected. The caller
// must call close.
func newSimCluster(t *testing.T, spec simSpec) *simCluster {
	t.Helper()
	w := &simCluster{
		t: t, spec: spec, net: memnet.New(spec.latency), log: &standin.Log{}, hosts: &standin.Hosts{}, tracer: spec.tracer,
		engines: map[string]*standin.Engine{}, plains: map[string]*standin.PlainService{},
		agents: map[string]*instance[*daemon.Agent]{}, entries: map[string]*instance[*daemon.Entry]{},
	}
	w.cfg = simConfig(spec)
	if spec.edit != nil {
		spec.edit(w.cfg)
	}
	if _, err := config.Apply(t.Context(), w.log, 0, w.cfg); err != nil {
		t.Fatal(err)
	}
	for _, one := range spec.engines {
		e := &standin.Engine{Name: one.name, Slots: one.slots, PrefillPerSecond: one.prefill, DecodePerSecond: one.decode}
		w.engines[one.name] = e
		w.serve("host-"+one.name, "80", e.Handler())
		w.startAgent(one.name)
	}
	for _, name := range spec.plains {
		w.plains[name] = &standin.PlainService{Delay: 20 * time.Millisecond}
		w.serve("host-"+name, "80", w.plains[name].Handler())
		w.startAgent(name)
	}
	for _, name := range spec.entries {
		w.startEntry(name)
	}
	w.waitConnected()
	return w
}

func simConfig(spec simSpec) *runworks.Config {
	llm := runworks.Service{Name: "llm", Kind: runworks.KindEngine, Models: []string{simModel}}
	for _, one := range spec.engines {
		llm.BackendServers = append(llm.BackendServers, runworks.BackendServer{
			Name: one.name, Hall: "a", Address: "http://host-" + one.name + ":80", Slots: one.slots, Speed: one.decode,
		})
	}
	cfg := &runworks.Config{
		Services: []runworks.Service{llm},
		Tiers: []runworks.Tier{
			{Name: "urgent", Rank: 0, Timeout: time.Minute},
			{Name: "normal", Rank: 1, Timeout: 2 * time.Minute},
			{Name: "batch", Rank: 2, Timeout: 5 * time.Minute},
		},
		Customers: []runworks.Customer{{Name: "tester", KeySHA256: []string{sha256Hex(simKey)}}},
		Rules: []runworks.Rule{
			{Services: []string{"llm"}, Tier: "urgent"},
			{Kind: "once", Services: []string{"llm"}, Tier: "urgent", NotRepeatable: true},
		},
	}
	if len(spec.plains) == 0 {
		return cfg
	}
	app := runworks.Service{Name: "app", Kind: runworks.KindPlain}
	for _, name := range spec.plains {
		app.BackendServers = append(app.BackendServers, runworks.BackendServer{
			Name: name, Hall: "a", Address: "http://host-" + name + ":80", Slots: 16,
		})
	}
	cfg.Services = append(cfg.Services, app)
	cfg.Rules = append(cfg.Rules,
		runworks.Rule{Services: []string{"app"}, Tier: "urgent"},
		runworks.Rule{Kind: "alarm", Services: []string{"app"}, Tier: "urgent", NotRepeatable: true},
	)
	return cfg
}

// serve runs an HTTP handler on a port of a host until the cluster is closed.
func (w *simCluster) serve(host, port string, handler http.Handler) {
	listener, err := w.net.Listen(host + ":" + port)
	if err != nil {
		w.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	w.servers = append(w.servers, server)
	w.wg.Go(func() { _ = server.Serve(listener) })
}

func (w *simCluster) commonSettings(name string) setting.Common {
	return setting.Common{
		Name: name, Hall: "a", Listen: name + ":70", Operators: name + ":71", FleetKeys: []string{simFleetKey},
		ConfigPoll: time.Second, RepublishInterval: 10 * time.Minute, StopLimit: 15 * time.Minute,
	}
}

func (w *simCluster) deps(host string) daemon.Deps {
	return daemon.Deps{
		Log: &remoteLog{net: w.net, host: host, log: w.log}, Hosts: w.hosts, Dial: w.net.Dialer(host),
		Listen: func(address string) (net.Listener, error) { return w.net.Listen(address) }, Tracer: w.tracer,
	}
}

func (w *simCluster) startAgent(server string) {
	host := "host-" + server
	d := &daemon.Agent{
		Settings: &setting.Agent{Common: w.commonSettings(host), Server: server, KeySkew: time.Second, MaxWaiting: w.spec.maxWaiting},
		Deps:     w.deps(host),
		Started:  make(chan struct{}),
	}
	if w.spec.connect != nil {
		d.Connect = func(runworks.ServiceKind, string) runworks.Backend { return w.spec.connect(server) }
	}
	d.BeforeStart = func(a *agent.Agent) { a.HeartbeatInterval = w.spec.heartbeatInterval }
	w.hosts.Put(runworks.Host{Name: host, Role: runworks.RoleAgent, Hall: "a", Address: host + ":70"})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.agents[server] = launch(w, d, d.Run)
}

func (w *simCluster) startEntry(name string) {
	d := &daemon.Entry{
		Settings: &setting.Entry{Common: w.commonSettings(name), HostsPoll: time.Second, BalancerDelay: time.Second},
		Deps:     w.deps(name),
		Started:  make(chan struct{}),
	}
	d.BeforeStart = func(e *entry.Entry) { e.Picker, e.OnShed = w.spec.picker, w.spec.onShed }
	w.hosts.Put(runworks.Host{Name: name, Role: runworks.RoleEntry, Hall: "a"})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries[name] = launch(w, d, d.Run)
}

// isStarted reports whether an entry or agent has been set up, which closes c.
func isStarted(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// launch runs an entry or agent in the bubble.
func launch[T any](w *simCluster, d T, run func(context.Context, <-chan struct{}) error) *instance[T] {
	ctx, kill := context.WithCancel(context.Background())
	r := &instance[T]{daemon: d, kill: kill, stop: make(chan struct{}), done: make(chan struct{})}
	w.wg.Go(func() {
		defer close(r.done)
		if err := run(ctx, r.stop); err != nil {
			w.t.Error(err)
		}
	})
	return r
}

// killAgent stops an agent as if its process were killed: its connections are reset and it sends
// nothing more.
func (w *simCluster) killAgent(server string) {
	w.mu.Lock()
	r := w.agents[server]
	w.mu.Unlock()
	w.net.Reset("host-"+server, "")
	w.net.CloseListener("host-" + server + ":70")
	w.net.CloseListener("host-" + server + ":71")
	r.kill()
	<-r.done
}

func (w *simCluster) killEntry(name string) {
	w.mu.Lock()
	r := w.entries[name]
	delete(w.entries, name)
	w.mu.Unlock()
	w.hosts.Remove(name)
	w.net.CloseListener(name + ":70")
	w.net.CloseListener(name + ":71")
	w.net.Reset(name, "")
	r.kill()
	<-r.done
}

func (w *simCluster) entry(name string) *daemon.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[name].daemon
}

// waitConnected waits until all entries are connected to all agents and have a configuration.
func (w *simCluster) waitConnected() {
	w.t.Helper()
	w.waitFor("all agents are connected", time.Minute, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, e := range w.entries {
			if !isStarted(e.daemon.Started) || !connectedTo(e.daemon, len(w.agents)) {
				return false
			}
		}
		for _, a := range w.agents {
			if !isStarted(a.daemon.Started) || a.daemon.Agent.Heartbeat().Slots == 0 {
				return false
			}
		}
		return true
	})
}

// connectedTo reports whether an entry has a configuration and is connected to exactly n agents.
func connectedTo(d *daemon.Entry, n int) bool {
	status := d.Entry.Status()
	for _, a := range status.Agents {
		if a.Connected {
			n--
		}
	}
	return n == 0 && status.Version > 0
}

// waitFor lets virtual time pass until a condition holds, and fails the test after limit.
func (w *simCluster) waitFor(what string, limit time.Duration, cond func() bool) {
	w.t.Helper()
	end := time.Now().Add(limit)
	for {
		synctest.Wait()
		if cond() {
			return
		}
		if time.Now().After(end) {
			w.t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// client returns an HTTP client on the caller's host.
func (w *simCluster) client() *http.Client {
	transport := &http.Transport{DialContext: w.net.Dialer("caller"), DisableKeepAlives: true}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clients = append(w.clients, transport)
	return &http.Client{Transport: transport}
}

// call builds the i-th call to an entry without making it.
func (w *simCluster) call(entry string, i, maxTokens int) *completionCall {
	return &completionCall{Entry: entry + ":70", Key: simKey, Model: simModel, Prompt: prompt(i), MaxTokens: maxTokens}
}

// dispatches returns how often engines and plain servers received each request, over all its
// attempts.
func (w *simCluster) dispatches() map[runworks.RequestID]int {
	sum := map[runworks.RequestID]int{}
	for _, e := range w.engines {
		for id, n := range e.Stats().Dispatches {
			sum[runworks.RequestID(id).Base()] += n
		}
	}
	for _, p := range w.plains {
		for id, n := range p.Calls() {
			sum[runworks.RequestID(id).Base()] += n
		}
	}
	return sum
}

// close stops all entries, agents and servers, and waits for them.
func (w *simCluster) close() {
	for _, e := range w.entries {
		e.kill()
	}
	for _, a := range w.agents {
		a.kill()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	for _, c := range w.clients {
		c.CloseIdleConnections()
	}
	w.wg.Wait()
	w.net.Close()
	// Lets the goroutines of net/http that wait for a closed connection time out, as virtual time
	// stops when the test function returns.
	time.Sleep(connCloseTime)
}

// remoteLog is the log service as one host reaches it: a network cut between the host and the
// platform is an outage for that host only.
type remoteLog struct {
	net  *memnet.Network
	host string
	log  *standin.Log
}

const logTimeout = 5 * time.Second

// Append implements runworks.LogService.
func (l *remoteLog) Append(ctx context.Context, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	if err := l.net.WaitReachable(ctx, l.host, "platform"); err != nil {
		return 0, fmt.Errorf("append: %w", err)
	}
	return l.log.Append(ctx, data)
}

// Read implements runworks.LogService.
func (l *remoteLog) Read(ctx context.Context, from int64) (*runworks.LogPage, error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	if err := l.net.WaitReachable(ctx, l.host, "platform"); err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	return l.log.Read(ctx, from)
}
