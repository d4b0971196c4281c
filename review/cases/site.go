package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

const (
	// memoryMB is the memory of a front, and graceS its grace, as on the smallest deployment.
	memoryMB = 134
	graceS   = 8
	// readyTimeout is how long fronts may take to be ready.
	readyTimeout = 10 * time.Second
	// pollInterval is the interval at which conditions are checked.
	pollInterval = 20 * time.Millisecond
)

// The files and programs that a case uses, relative to the root of the project.
const (
	frontProgram   = "target/runworks"
	standinProgram = "target/standin"
	frontTemplate  = "platform/front.yaml"
)

// document is the manifest, with routes like those of the site kcs-yards; %d is its version.
const document = `{"version": %d,
 "routes": [
  {"name": "gate-in", "host": "yard.example", "pathPrefix": "/gate/", "kind": "unsafe", "timeoutMs": 1000, "sloMs": 150, "priority": 2, "service": "yard-app", "maxAttempts": 1},
  {"name": "chat", "host": "yard.example", "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 15000, "sloMs": 600, "priority": 2, "service": "yard-llm", "maxAttempts": 1, "gapTargetMs": 400},
  {"name": "compliance", "host": "yard.example", "pathPrefix": "/compliance/", "kind": "streaming", "timeoutMs": 4000, "sloMs": 800, "priority": 1, "service": "yard-llm", "maxAttempts": 2, "resumable": true, "gapTargetMs": 400}],
 "services": [{"name": "yard-app", "maxConns": 110}, {"name": "yard-llm", "maxConns": 630, "engine": {"slots": 7}}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
 "tenants": [{"name": "yard", "apiKeys": ["yard-key"], "unit": "tokens", "plainTokens": 200}]}`

// site is a small deployment.
type site struct {
	dir     string
	trouble bool
	started time.Time
	store   *process
	fronts  []*front

	mu     sync.Mutex
	record *os.File
	others []*process
	stops  []func()
}

// front is a front with its fixed addresses. Its process is replaced at a restart.
type front struct {
	site                           *site
	name, settings                 string
	listen, ready, peers, operator string

	mu   sync.Mutex
	proc *process
}

// newSite starts the store of a deployment and writes the manifest.
func newSite(folder string, trouble bool) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	s := &site{dir: dir, trouble: trouble, started: time.Now()}
	if s.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	if s.store, err = s.startProcess("store", standinProgram, "store"); err != nil {
		s.close()
		return nil, err
	}
	if err := s.put("keyed.op", "config", fmt.Sprintf(document, 1)); err != nil {
		s.close()
		return nil, err
	}
	s.note("trouble: %v", trouble)
	return s, nil
}

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f "+format+"\n", append([]any{time.Since(s.started).Seconds()}, args...)...)
}

// close ends all processes that the case started.
func (s *site) close() {
	for _, stop := range s.stops {
		stop()
	}
	for _, f := range s.fronts {
		if p := f.process(); p != nil {
			p.kill()
		}
	}
	for _, p := range s.others {
		p.kill()
	}
	_ = s.record.Close()
	_ = os.RemoveAll(s.dir)
}

// startProcess starts a stand-in, which close ends.
func (s *site) startProcess(name, program string, args ...string) (*process, error) {
	p, err := startProcess(name, filepath.Join(s.dir, name+".log"), program, args...)
	if err != nil {
		return nil, err
	}
	s.others = append(s.others, p)
	return p, nil
}

// put writes a record to the store as the platform, an engine or the operator does; an empty value
// removes it.
func (s *site) put(topic, key, value string) error {
	address, err := s.store.address("standin")
	if err != nil {
		return err
	}
	query := url.Values{"topic": {topic}, "key": {key}}
	return post("http://"+address+"/put?"+query.Encode(), []byte(value))
}

// post sends a request to a stand-in.
func post(target string, body []byte) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s: %s", errNotRun, target, res.Status)
	}
	return nil
}

// list writes the entry of an engine.
func (s *site) list(id, service, address, version string, slots int) error {
	entry := map[string]any{"service": service, "address": address, "zone": "walvis-a", "version": version, "slots": slots, "state": "ready", "coldRemainingMs": 0, "seq": 1}
	data, err := json.Marshal(entry)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	s.note("entry of engine %s at %s: version %s, service %s", id, address, version, service)
	return s.put("keyed.servers", id, string(data))
}

// unlist removes the entry of an engine.
func (s *site) unlist(id string) error {
	s.note("the entry of engine %s goes", id)
	return s.put("keyed.servers", id, "")
}

// startFronts starts fronts and waits until all are ready.
func (s *site) startFronts(names ...string) error {
	for _, name := range names {
		f := &front{site: s, name: name, listen: freeAddress(), ready: freeAddress(), peers: freeAddress(), operator: freeAddress()}
		if err := f.writeSettings(); err != nil {
			return err
		}
		s.fronts = append(s.fronts, f)
		if err := f.start(); err != nil {
			return err
		}
	}
	for _, f := range s.fronts {
		if err := f.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// freeAddress returns a loopback address with a free port, below those that the kernel gives to connections:
// one of them could take the port before its process listens.
func freeAddress() string {
	const first, number, tries = 20000, 12000, 100
	for range tries {
		address := fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(number))
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		if !givenAddresses[address] {
			givenAddresses[address] = true
			return address
		}
	}
	return ""
}

// givenAddresses are those that freeAddress returned.
var givenAddresses = make(map[string]bool)

// gap is a gap of a template of settings.
var gap = regexp.MustCompile(`\{\{[^}]*\}\}`)

// writeSettings fills in the template of the deploy file, as the platform does. Bounds of matters that are
// not open on the deployment stay empty.
func (f *front) writeSettings() error {
	template, err := os.ReadFile(frontTemplate)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	store, err := f.site.store.address("standin")
	if err != nil {
		return err
	}
	ip, peerPort, _ := strings.Cut(f.peers, ":")
	_, operatorPort, _ := strings.Cut(f.operator, ":")
	values := map[string]string{
		"node": f.name, "zone": "walvis-a", "region": "erongo", "ip": ip,
		"listen.front": f.listen, "listen.ready": f.ready, "internalPorts.0": peerPort, "internalPorts.1": operatorPort, "provider.address": store,
		"bounds.graceS": fmt.Sprint(graceS), "bounds.contactMs": "3000", "bounds.retryBudgetRatio": "0.2", "bounds.budgetSlack": "58",
		"bounds.budgetWindowS": "10", "bounds.quotaWindowS": "8", "limits.cores": "1", "limits.memoryMb": fmt.Sprint(memoryMB), "limits.cpuShare": "0.304",
		"zones|json": `{"walvis-a": "erongo"}`, "contracts|json": `["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "platform"]`,
	}
	var lines []string
	for line := range strings.Lines(string(template)) {
		filled := gap.ReplaceAllStringFunc(line, func(one string) string { return values[strings.Trim(one, "{}")] })
		if strings.Contains(line, "bounds.cold") || strings.Contains(line, "bounds.exposure") || strings.Contains(line, "bounds.rollback") {
			filled = gap.ReplaceAllString(line, "")
		}
		lines = append(lines, filled)
	}
	f.settings = filepath.Join(f.site.dir, f.name+".yaml")
	if err := os.WriteFile(f.settings, []byte(strings.Join(lines, "")), 0o600); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	return nil
}

// start starts the front's process with the command of the deploy file.
func (f *front) start() error {
	p, err := startProcess(f.name, filepath.Join(f.site.dir, f.name+".log"), frontProgram, "front", "--settings", f.settings)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.proc = p
	f.mu.Unlock()
	f.site.note("%s starts, process %d, for callers at %s", f.name, p.cmd.Process.Pid, f.listen)
	return nil
}

func (f *front) process() *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.proc
}

// awaitReady waits until the balancer would use the front.
func (f *front) awaitReady() error {
	for limit := time.Now().Add(readyTimeout); time.Now().Before(limit); time.Sleep(pollInterval) {
		if f.isReady() {
			f.site.note("%s is ready", f.name)
			return nil
		}
	}
	return fmt.Errorf("%w: %s is not ready", errNotRun, f.name)
}

// isReady asks the front whether it is ready, as the balancer does.
func (f *front) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.ready+"/-/ready", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
