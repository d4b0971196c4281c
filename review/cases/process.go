package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// startTimeout is how long a process may take to listen.
const startTimeout = 10 * time.Second

// process is a process that the case started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}

	mu        sync.Mutex
	addresses map[string]string
	changed   chan struct{}
}

// startProcess starts a program and reads the addresses that it listens on from its output, which is
// also written to a file.
func startProcess(name, logFile, program string, args ...string) (*process, error) {
	p := &process{name: name, done: make(chan struct{}), addresses: make(map[string]string), changed: make(chan struct{}, 1)}
	p.cmd = exec.Command(program, args...) //nolint:noctx // ended by close
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	p.cmd.Stderr = p.cmd.Stdout
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	if err := p.cmd.Start(); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	go func() {
		scanner := bufio.NewScanner(out)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			_, _ = log.WriteString(scanner.Text() + "\n")
			p.handleLine(scanner.Text())
		}
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

func (p *process) handleLine(text string) {
	var entry struct {
		Message string `json:"@message"`
		For     string `json:"for"`
		Address string `json:"address"`
	}
	p.mu.Lock()
	if address, ok := strings.CutPrefix(text, "listening on "); ok {
		p.addresses["standin"] = address
	} else if json.Unmarshal([]byte(text), &entry) == nil && entry.Message == "listening" {
		p.addresses[entry.For] = entry.Address
	}
	p.mu.Unlock()
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// address waits until the process listens for a purpose and returns the address.
func (p *process) address(what string) (string, error) {
	limit := time.After(startTimeout)
	for {
		p.mu.Lock()
		address := p.addresses[what]
		p.mu.Unlock()
		if address != "" {
			return address, nil
		}
		select {
		case <-p.changed:
		case <-p.done:
			return "", fmt.Errorf("%w: %s ended before it listened", errNotRun, p.name)
		case <-limit:
			return "", fmt.Errorf("%w: %s does not listen", errNotRun, p.name)
		}
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// residentMB returns the resident memory of the process in MB; 0 if it has ended.
func (p *process) residentMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}
