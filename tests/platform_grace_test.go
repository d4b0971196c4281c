package tests

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/runworks/runworks/modules/pause"
)

// callerInterval is the time between the first calls of two callers.
const callerInterval = 200 * time.Millisecond

// stoppedCall is a call of a caller that uses a front until it is gone.
type stoppedCall struct {
	id string
	// sent is when the call was sent, after the signal.
	sent   time.Duration
	status int
	err    error
	// ran is set if a server ran it.
	ran bool
}

// callUntilGone sends calls through a front one after the other, on open connections, until nothing
// listens there.
func (p *platformSite) callUntilGone(front, prefix string, form platformCall, signalled time.Time) (out []stoppedCall) {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	for n := 0; ; n++ {
		form.id = fmt.Sprintf("%s-%d", prefix, n)
		req, err := form.request(context.Background(), p.fronts[front].address("callers"), 10*time.Second)
		if err != nil {
			return append(out, stoppedCall{id: form.id, err: err})
		}
		one := stoppedCall{id: form.id, sent: time.Since(signalled)}
		res, err := transport.RoundTrip(req)
		if err == nil {
			one.status = res.StatusCode
			_, err = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			if one.status == http.StatusServiceUnavailable {
				wait, parseErr := time.ParseDuration(res.Header.Get("Retry-After") + "s")
				err = errors.Join(err, parseErr)
				pause.For(context.Background(), wait)
			}
		} else if strings.Contains(err.Error(), "refused") {
			return out
		}
		one.err = err
		out = append(out, one)
	}
}

// stopUnderCalls stops a front while callers use it, and returns their calls.
func (p *platformSite) stopUnderCalls(front string, callers int, form platformCall) []stoppedCall {
	p.t.Helper()
	var mu sync.Mutex
	var out []stoppedCall
	var wg sync.WaitGroup
	p.fronts[front].signal(syscall.SIGTERM)
	signalled := time.Now()
	for i := range callers {
		wg.Go(func() {
			pause.For(context.Background(), time.Duration(i)*callerInterval) // so that calls come at each moment of the stop
			calls := p.callUntilGone(front, fmt.Sprintf("stop-%d", i), form, signalled)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, calls...)
		})
	}
	wg.Wait()
	p.fronts[front].waitExit()
	ran := map[string]bool{}
	for name := range p.backends {
		for _, one := range p.calls(name) {
			ran[one.ID] = true
		}
	}
	for i := range out {
		out[i].ran = ran[out[i].id]
	}
	return out
}

// TestPlatformStopRejectsCallsThatWouldNotEnd guards against calls that a stopping front passes on although
// it ends before they do: their callers get no result, and may not repeat what has run.
func TestPlatformStopRejectsCallsThatWouldNotEnd(t *testing.T) {
	for name, callers := range map[string]int{"free server": 7, "full server": 16} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newBarePlatformSite(t)
			p.putDocument()
			p.addServer("app-1", "--delay", "1500ms")
			p.startFront("front-1")
			p.waitReady("front-1", 1)
			form := platformCall{method: http.MethodPost, target: "/once/1", key: "yard-key", body: bytes.Repeat([]byte("b"), 100)}
			p.callBefore("front-1", form)
			var ended, rejected, early int
			for _, one := range p.stopUnderCalls("front-1", callers, form) {
				switch {
				case one.status == http.StatusOK && one.err == nil:
					ended++
				case one.ran:
					t.Errorf("sent %v after the signal, run: %d, %v", one.sent.Round(time.Millisecond), one.status, one.err)
				case one.status == http.StatusServiceUnavailable:
					rejected++
					if one.sent < 2500*time.Millisecond {
						early++
					}
				}
			}
			t.Logf("%d ended, %d rejected, %d of them sent in the first 2.5 s", ended, rejected, early)
			if ended < callers || rejected == 0 || early > 0 && callers < 8 {
				t.Errorf("%d calls ended, %d were rejected, %d of them in time to end", ended, rejected, early)
			}
		})
	}
}

// callBefore sends calls before a stop, by which the front knows how long they take.
func (p *platformSite) callBefore(front string, form platformCall) {
	p.t.Helper()
	var wg sync.WaitGroup
	for i := range 6 {
		one := form
		one.id = fmt.Sprint("before-", i)
		wg.Go(func() {
			if res, _, err := p.do(front, one); err != nil || res.StatusCode != http.StatusOK {
				p.t.Errorf("before the stop: %v", err)
			}
		})
	}
	wg.Wait()
}
