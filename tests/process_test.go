package tests

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/standin"
)

const (
	processFleetKey = "process-test-fleet-key"
	// waitTimeout limits each wait for a condition of a process.
	waitTimeout = 30 * time.Second
	// dataRace is what a program that is built with -race writes at a data race.
	dataRace = "WARNING: DATA RACE"
)

// frontProgram is the program of the fronts, to play a test against that of another version, or against one that is built with -race.
var frontProgram = flag.String("front-program", "", "the program of the fronts; empty builds it")

// frontLacks are settings that the program of the fronts does not know, separated by commas.
var frontLacks = flag.String("front-lacks", "", "settings that -front-program does not know, separated by commas")

// buildPrograms builds the programs of cmd once for all tests and returns their directory.
var buildPrograms = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "runworks-programs")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir+"/", "../cmd/...").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build programs: %w: %s", err, out)
	}
	return dir, nil
})

// process is a running program under test.
type process struct {
	t    testing.TB
	name string
	cmd  *exec.Cmd
	done chan struct{}

	mu        sync.Mutex
	addresses map[string]string // listen addresses by purpose
	output    bytes.Buffer
	changed   chan struct{} // receives after a line of output
}

// startProcess runs a program and collects the listen addresses that it logs. The process is
// killed at the end of the test, which fails at a data race; its output is logged if the test failed.
func startProcess(t testing.TB, name, program string, args ...string) *process {
	t.Helper()
	dir, err := buildPrograms()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, name: name, done: make(chan struct{}), addresses: map[string]string{}, changed: make(chan struct{}, 1)}
	path := filepath.Join(dir, program)
	if *frontProgram != "" && program == "runworks" && args[0] == "front" {
		path = *frontProgram
	}
	p.cmd = exec.Command(path, args...)
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = writer, writer
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close()
	go p.readOutput(reader)
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
		if strings.Contains(p.outputText(), dataRace) {
			t.Errorf("%s has a data race", name)
		}
		if t.Failed() {
			t.Logf("output of %s:\n%s", name, p.outputText())
		}
	})
	return p
}

// readOutput reads the program's output until the program exits.
func (p *process) readOutput(reader *os.File) {
	scanner := bufio.NewScanner(reader)
	for scanner.Scan() {
		p.handleLine(scanner.Text())
	}
	_ = p.cmd.Wait()
	_ = reader.Close()
	close(p.done)
}

func (p *process) handleLine(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.output.WriteString(text + "\n")
	var entry struct {
		Message string `json:"@message"`
		For     string `json:"for"`
		Address string `json:"address"`
	}
	if address, ok := strings.CutPrefix(text, "listening on "); ok {
		p.addresses["standin"] = address
	} else if json.Unmarshal([]byte(text), &entry) == nil && entry.Message == "listening" {
		p.addresses[entry.For] = entry.Address
	}
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

func (p *process) outputText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// address waits until the program listens for the purpose what and returns the address.
func (p *process) address(what string) string {
	p.t.Helper()
	limit := time.After(waitTimeout)
	for {
		p.mu.Lock()
		address := p.addresses[what]
		p.mu.Unlock()
		if address != "" {
			return address
		}
		select {
		case <-p.changed:
		case <-p.done:
			p.t.Fatalf("%s exited before it listened for %s:\n%s", p.name, what, p.outputText())
		case <-limit:
			p.t.Fatalf("%s did not listen for %s in time:\n%s", p.name, what, p.outputText())
		}
	}
}

// signal sends a signal to this process, not to its group.
func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// waitExit waits until the program has exited.
func (p *process) waitExit() {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s did not exit in time", p.name)
	}
}

// site is a whole system of separate processes: log service, host list, backend servers, agents
// and entries.
type site struct {
	t        testing.TB
	dir      string
	log      *process
	hosts    *process
	backends map[string]*process
	agents   map[string]*process
	entries  map[string]*process
}

// serverSpec describes one backend server of a site; args are further flags of its stand-in.
type serverSpec struct {
	name  string
	plain bool
	slots int
	args  []string
}

// newSite starts the log service, the host list, the backend servers with their agents, and the
// entries, and waits until all entries are connected to all agents.
func newSite(t testing.TB, servers []serverSpec, entries []string) *site {
	t.Helper()
	s := &site{t: t, dir: t.TempDir(), backends: map[string]*process{}, agents: map[string]*process{}, entries: map[string]*process{}}
	s.log = startProcess(t, "log", "standin", "log")
	s.hosts = startProcess(t, "hosts", "standin", "hosts")
	for _, spec := range servers {
		kind := "engine"
		if spec.plain {
			kind = "plain"
		} else {
			spec.args = append(spec.args, "--slots", fmt.Sprint(spec.slots))
		}
		s.backends[spec.name] = startProcess(t, spec.name, "standin", append([]string{kind}, spec.args...)...)
	}
	s.apply(servers)
	for _, spec := range servers {
		s.startAgent(spec.name)
	}
	for _, name := range entries {
		s.startEntry(name)
	}
	for _, name := range entries {
		s.waitConnected(name, len(servers))
	}
	return s
}

// apply writes the configuration file and applies it with "runworks apply".
func (s *site) apply(servers []serverSpec) {
	s.t.Helper()
	var engines, plains strings.Builder
	for _, spec := range servers {
		line := fmt.Sprintf("      - {name: %s, hall: a, address: \"http://%s\", slots: %d}\n",
			spec.name, s.backends[spec.name].address("standin"), spec.slots)
		if spec.plain {
			plains.WriteString(line)
		} else {
			engines.WriteString(line)
		}
	}
	text := fmt.Sprintf(siteConfig, engines.String(), plains.String(), sha256Hex("site-key"))
	file := filepath.Join(s.dir, "site.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	apply := startProcess(s.t, "apply", "runworks", "apply", "-f", file, "--log-service", "http://"+s.log.address("standin"))
	apply.waitExit()
	if code := apply.cmd.ProcessState.ExitCode(); code != 0 {
		s.t.Fatalf("apply exited with %d:\n%s", code, apply.outputText())
	}
}

const siteConfig = `services:
  - name: llm
    kind: engine
    models: [site-model]
    backend_servers:
%s  - name: app
    kind: plain
    backend_servers:
%stiers:
  - {name: urgent, rank: 0, timeout: 60s}
  - {name: batch, rank: 1, timeout: 120s}
customers:
  - {name: tester, key_sha256: [%s]}
rules:
  - {services: [llm, app], tier: urgent}
  - {kind: batch, services: [llm], tier: batch}
  - {kind: once, services: [llm, app], tier: urgent, not_repeatable: true}
`

func (s *site) commonSettings(name string) string {
	return fmt.Sprintf(`name: %s
hall: a
listen: 127.0.0.1:0
operators: 127.0.0.1:0
log_service: http://%s
fleet_keys: [%s]
config_poll: 100ms
log: {json: true}
`, name, s.log.address("standin"), processFleetKey)
}

func (s *site) settingsFile(name, text string) string {
	s.t.Helper()
	file := filepath.Join(s.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return file
}

func (s *site) startAgent(server string) {
	s.t.Helper()
	name := "host-" + server
	file := s.settingsFile(name, s.commonSettings(name)+"server: "+server+"\nkey_skew: 0s\n")
	p := startProcess(s.t, name, "runworks", "agent", "--settings", file)
	s.agents[server] = p
	s.putHost(runworks.Host{Name: name, Role: runworks.RoleAgent, Hall: "a", Address: p.address("entries")})
}

func (s *site) startEntry(name string) {
	s.t.Helper()
	text := s.commonSettings(name) + "host_list: http://" + s.hosts.address("standin") + "\nhosts_poll: 100ms\nlist_settle: 0s\nbalancer_delay: 100ms\n"
	s.putHost(runworks.Host{Name: name, Role: runworks.RoleEntry, Hall: "a"})
	s.entries[name] = startProcess(s.t, name, "runworks", "entry", "--settings", s.settingsFile(name, text))
}

func (s *site) putHost(h runworks.Host) {
	s.t.Helper()
	body, err := json.Marshal(h)
	if err != nil {
		s.t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+s.hosts.address("standin")+"/hosts", bytes.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	_ = res.Body.Close()
}

// waitFor polls a condition until it holds, and fails the test after waitTimeout.
func (s *site) waitFor(what string, cond func() bool) {
	s.t.Helper()
	limit := time.Now().Add(waitTimeout)
	for !cond() {
		if time.Now().After(limit) {
			s.t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// getJSON reads a JSON document from a process and reports whether it was read with status 200.
func getJSON(url string, out any) bool {
	res, err := http.Get(url) //nolint:gosec // a process of this test
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode == http.StatusOK && json.NewDecoder(res.Body).Decode(out) == nil
}

func (s *site) waitConnected(entry string, agents int) {
	s.t.Helper()
	url := "http://" + s.entries[entry].address("operators")
	s.waitFor(entry+" is connected to all agents", func() bool {
		var status struct {
			Version int64 `json:"version"`
			Agents  []struct {
				Connected bool  `json:"connected"`
				Slots     int   `json:"slots"`
				Version   int64 `json:"version"`
			} `json:"agents"`
		}
		if !getJSON(url+"/status", &status) || status.Version == 0 {
			return false
		}
		n := 0
		for _, a := range status.Agents {
			if a.Connected {
				n++
			}
		}
		return n == agents
	})
	for server, p := range s.agents {
		s.waitFor(server+" is configured", func() bool {
			var status struct {
				Slots int `json:"slots"`
			}
			return getJSON("http://"+p.address("operators")+"/status", &status) && status.Slots > 0
		})
	}
}

// dispatches returns how often the engines received each request, over all its attempts.
func (s *site) dispatches() map[runworks.RequestID]int {
	s.t.Helper()
	sum := map[runworks.RequestID]int{}
	for name, p := range s.backends {
		var stats standin.EngineStats
		if name == "app-1" || !getJSON("http://"+p.address("standin")+"/stats", &stats) {
			continue
		}
		for id, n := range stats.Dispatches {
			sum[runworks.RequestID(id).Base()] += n
		}
	}
	return sum
}

var heterogeneousServers = []serverSpec{
	{name: "old", slots: 4, args: []string{"--prefill", "20000", "--decode", "400"}},
	{name: "new", slots: 8, args: []string{"--prefill", "80000", "--decode", "2000"}},
	{name: "mid", slots: 6, args: []string{"--prefill", "40000", "--decode", "1000"}},
	{name: "app-1", plain: true, slots: 16},
}

// TestProcessesEndToEnd sends 200 concurrent calls of mixed length through two entries and checks
// each answer against its own prompt, so that no caller gets another call's answer, and that no
// request reaches an engine twice.
func TestProcessesEndToEnd(t *testing.T) {
	is := is.New(t)
	s := newSite(t, heterogeneousServers, []string{"entry-1", "entry-2"})
	const calls = 200
	errs := make(chan error, calls)
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	defer cancel()
	for i := range calls {
		entry := s.entries[fmt.Sprintf("entry-%d", 1+i%2)].address("callers")
		go func() { errs <- endToEndCall(ctx, entry, i) }()
	}
	for range calls {
		is.NoErr(<-errs)
	}
	for id, n := range s.dispatches() {
		if n != 1 {
			t.Errorf("request %s was dispatched %d times", id, n)
		}
	}
}

// endToEndCall makes the i-th call: one in ten to the plain service, one in ten about a hundred
// times longer, every second one streamed.
func endToEndCall(ctx context.Context, entry string, i int) error {
	if i%10 == 9 {
		return plainCall(ctx, http.DefaultClient, entry, fmt.Sprintf("alarm %d", i))
	}
	tokens := 5 + i%7
	if i%10 == 0 {
		tokens = 500
	}
	c := &completionCall{Entry: entry, Key: "site-key", Model: "site-model", Prompt: prompt(i), MaxTokens: tokens, Stream: i%2 == 0}
	return c.check(ctx, http.DefaultClient)
}
