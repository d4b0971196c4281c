package tests

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks/standin"
)

const (
	// endlessMemoryMB is the memory of a front of the smallest deployment.
	endlessMemoryMB = 134
	// endlessCalls is the number of endless responses at once.
	endlessCalls = 16
	// maxResponse is the setting of the longest response in bytes, and wholeResponse how much of one is read
	// before it is passed on.
	maxResponse   = 4 << 20
	wholeResponse = 256 << 10
	// soundCallers is the number of callers of the other service.
	soundCallers = 8
)

// peakMemoryMB returns the largest resident memory that a process has had.
func peakMemoryMB(t testing.TB, pid int) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		var kb int
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kb); err == nil {
			return kb >> 10
		}
	}
	t.Fatal("no peak of the resident memory")
	return 0
}

// endlessCase is a kind of endless responses, the calls that get them, and those of another service that get
// sound ones meanwhile.
type endlessCase struct {
	kind                   standin.EndlessKind
	service, target, sound string
	// answered is set if the endless bytes follow a whole response.
	answered bool
}

const (
	endlessOnce   = "/once/%d"
	endlessStream = "/chat/long/%d?events=6"
)

// TestPlatformEndlessHeadEndsFront guards against a front that keeps a response head without end in memory
// until it is killed, with the calls that sound servers run for it.
func TestPlatformEndlessHeadEndsFront(t *testing.T) {
	for _, c := range []endlessCase{
		{kind: standin.EndlessBytes, service: "app", target: endlessOnce, sound: endlessStream},
		{kind: standin.EndlessLine, service: "app", target: endlessOnce, sound: endlessStream},
		{kind: standin.EndlessHeader, service: "app", target: endlessOnce, sound: endlessStream},
		{kind: standin.EndlessBytes, service: "llm", target: endlessStream, sound: endlessOnce},
	} {
		c.run(t)
	}
}

// run plays endless responses, one and then many at once.
func (c *endlessCase) run(t *testing.T) {
	t.Run(fmt.Sprintf("%s of %s", c.kind, c.service), func(t *testing.T) {
		is := is.New(t)
		p := newBarePlatformSite(t)
		p.extraSettings = fmt.Sprintf("memory_mb: %d\nmax_response_bytes: %d\ncores: 1\n", endlessMemoryMB, maxResponse)
		p.putDocument()
		for _, name := range []string{"app-1", "app-2", "llm-1", "llm-2"} {
			p.addServer(name)
		}
		p.startFront("front-1")
		p.waitReady("front-1", 1)
		for _, n := range []int{1, endlessCalls} {
			for _, server := range []string{c.service + "-1", c.service + "-2"} {
				p.setFaults(p.backends[server], standin.RoutedFaults{Endless: c.kind, EndlessAnswers: 100})
			}
			stop := make(chan struct{})
			sound := p.soundCalls(fmt.Sprintf("sound-%d", n), c.sound, stop)
			var work sync.WaitGroup
			for i := range n {
				work.Go(func() {
					c.call(p, platformCall{id: fmt.Sprintf("endless-%d-%d", n, i), method: http.MethodPost, target: fmt.Sprintf(c.target, i), key: "yard-key"})
				})
			}
			work.Wait()
			close(stop)
			calls, lost := sound()
			is.True(calls > 0)
			is.NoErr(lost)
		}
		peak := peakMemoryMB(t, p.fronts["front-1"].cmd.Process.Pid)
		t.Logf("peak of %d MB", peak)
		is.True(peak < endlessMemoryMB)
	})
}

// call makes a call that gets an endless response: it may have run, so it is neither complete nor refused as
// not run.
func (c *endlessCase) call(p *platformSite, call platformCall) {
	res, data, err := p.do("front-1", call)
	switch {
	case c.answered && (err != nil || res.StatusCode != http.StatusOK):
		p.t.Errorf("%s: answered by its server, and got %v", call.id, err)
	case !c.answered && err == nil && res.StatusCode != http.StatusBadGateway:
		p.t.Errorf("%s: got status %d, although it may have run and has no response", call.id, res.StatusCode)
	case len(data) > maxResponse+wholeResponse:
		p.t.Errorf("%s: got %d bytes", call.id, len(data))
	}
}

// soundCalls makes calls on kept connections until stop is closed. The returned function waits for their ends
// and returns the number of calls, and an error if one was not answered.
func (p *platformSite) soundCalls(prefix, target string, stop <-chan struct{}) func() (int, error) {
	var mu sync.Mutex
	var lost error
	var took []time.Duration
	var work sync.WaitGroup
	for caller := range soundCallers {
		work.Go(func() {
			transport := &http.Transport{DisableCompression: true}
			defer transport.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				c := platformCall{id: fmt.Sprintf("%s-%d-%d", prefix, caller, n), method: http.MethodPost, target: fmt.Sprintf(target, n), key: "yard-key"}
				began := time.Now()
				err := p.soundCall(transport, c)
				mu.Lock()
				took = append(took, time.Since(began))
				lost = errors.Join(lost, err)
				mu.Unlock()
			}
		})
	}
	return func() (int, error) {
		work.Wait()
		slices.Sort(took)
		p.t.Logf("%s: %d calls, median %v, longest %v", prefix, len(took), took[len(took)/2], took[len(took)-1])
		return len(took), lost
	}
}

// soundCall makes one call and returns an error if it is not answered whole.
func (p *platformSite) soundCall(transport *http.Transport, c platformCall) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := c.request(ctx, p.fronts["front-1"].address("callers"), 8*time.Second)
	if err != nil {
		return err
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return fmt.Errorf("%s: %w", c.id, err)
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return fmt.Errorf("%s: %w", c.id, err)
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", c.id, res.StatusCode)
	}
	return nil
}
