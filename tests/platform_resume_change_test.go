package tests

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlatformStreamsResumedWhileServersChange guards against a front that hangs for good because callers resume
// streams that it does not know while the list of servers changes.
func TestPlatformStreamsResumedWhileServersChange(t *testing.T) {
	is := is.New(t)
	p := newPlatformSite(t, "front-1")
	const callers, calls = 8, 150
	var work sync.WaitGroup
	done := make(chan struct{})
	for lane := range callers {
		work.Go(func() {
			for i := range calls {
				c := platformCall{id: fmt.Sprintf("again-%d-%d", lane, i), method: http.MethodPost, target: "/chat/long/1?events=4", key: "yard-key", header: http.Header{"Last-Event-Id": {"3"}, "Resumes": {fmt.Sprintf("unknown-%d-%d", lane, i)}}}
				if err := p.doWithin(c, 5*time.Second); err != nil {
					t.Errorf("%s: %v", c.id, err)
					return
				}
			}
		})
	}
	go func() {
		work.Wait()
		close(done)
	}()
	changes := 0
	for running := true; running; changes++ {
		p.listServer("app-2", []string{"ready", "draining"}[changes%2])
		select {
		case <-done:
			running = false
		default:
		}
	}
	is.Equal(p.ready("front-1"), http.StatusOK)
}

// doWithin sends a call to front-1 and reads its response; the error is set if it takes longer than limit.
func (p *platformSite) doWithin(c platformCall, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := c.request(ctx, p.fronts["front-1"].address("callers"), limit)
	if err != nil {
		return err
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	res, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if _, err = io.Copy(io.Discard, res.Body); err == nil && res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return err
}
