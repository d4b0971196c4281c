package tests

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/runworks/runworks/standin"
)

// rolloutSite is a site whose service app has two servers of v1 and two of v2, and callers of it.
type rolloutSite struct {
	*platformSite
	sent, ok, failed atomic.Int64
	stop             chan struct{}
	callers          sync.WaitGroup
}

var (
	oldApps = []string{"app-1", "app-2"}
	newApps = []string{"app-3", "app-4"}
)

func newRolloutSite(t *testing.T, fronts ...string) *rolloutSite {
	t.Helper()
	r := &rolloutSite{platformSite: newPlatformSite(t, fronts...), stop: make(chan struct{})}
	for _, name := range newApps {
		r.backends[name] = startProcess(t, name, "standin", "routed", "--instance", name)
		r.put("keyed.servers", name, bytes.Replace(r.record(name, "ready", 0), []byte(`"version": "v1"`), []byte(`"version": "v2"`), 1))
	}
	for _, name := range fronts {
		r.waitReady(name, len(fronts))
	}
	return r
}

// order gives the order for version v2, and waits until the status is running.
func (r *rolloutSite) order(seconds float64) {
	r.t.Helper()
	r.put("keyed.op", "rollout/app", fmt.Appendf(nil, `{"service":"app","targetVersion":"v2","durationS":%g}`, seconds))
	r.waitFor("the status is running", func() bool { return r.status() != "" })
}

// status returns the state on the store; empty if there is none.
func (r *rolloutSite) status() string {
	var page struct {
		Items []struct{ Key, Value string } `json:"items"`
	}
	if !getJSON("http://"+r.store.address("standin")+"/-/log-newest?topic=keyed.status&part=0", &page) {
		return ""
	}
	for _, item := range page.Items {
		data, _ := base64.StdEncoding.DecodeString(item.Value)
		var status struct{ TargetVersion, State string }
		if item.Key == "rollout/app" && json.Unmarshal(data, &status) == nil && status.TargetVersion == "v2" {
			return status.State
		}
	}
	return ""
}

// call starts callers at each front that call until close.
func (r *rolloutSite) call(callers int) {
	for i := range callers {
		for front := range r.fronts {
			r.callers.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-r.stop:
						return
					default:
					}
					id := fmt.Sprintf("%s-%d-%d", front, i, n)
					r.sent.Add(1)
					res, _, err := r.do(front, platformCall{id: id, method: http.MethodGet, target: "/safe/" + id, key: "yard-key"})
					if err == nil && res.StatusCode == http.StatusOK {
						r.ok.Add(1)
					} else {
						r.failed.Add(1)
					}
				}
			})
		}
	}
}

func (r *rolloutSite) close() {
	close(r.stop)
	r.callers.Wait()
}

// exposed returns the calls that servers of v2 received, by their own count.
func (r *rolloutSite) exposed() int {
	n := 0
	for _, name := range newApps {
		var arrivals []standin.RoutedArrival
		if !getJSON("http://"+r.backends[name].address("standin")+"/arrivals", &arrivals) {
			r.t.Fatalf("%s: no arrivals", name)
		}
		n += len(arrivals)
	}
	return n
}

// checkExposure checks the bound on the calls that servers of v2 received.
func (r *rolloutSite) checkExposure() {
	r.t.Helper()
	exposed, sent := r.exposed(), r.sent.Load()
	r.t.Logf("%d of %d calls sent to v2", exposed, sent)
	if float64(exposed) > 0.1*float64(sent)+50 {
		r.t.Errorf("%d of %d calls sent to v2, above the exposure", exposed, sent)
	}
}

// TestPlatformRolloutGood rolls out a good version. The old servers stop at once when the status is
// completed. It guards against an order that is not carried out, exposure above the bound, and calls
// that are still sent to the stopped servers.
func TestPlatformRolloutGood(t *testing.T) {
	is := is.New(t)
	r := newRolloutSite(t, "front-1", "front-2")
	r.call(3)
	r.order(8)
	var before int
	r.waitFor("the order is carried out", func() bool {
		before = r.exposed()
		return r.status() != "running"
	})
	is.Equal(r.status(), "completed")
	for _, name := range oldApps {
		r.backends[name].signal(syscall.SIGKILL)
		r.put("keyed.servers", name, nil)
	}
	if limit := 0.1*float64(r.sent.Load()) + 50; float64(before) > limit {
		t.Errorf("%d calls sent to v2 before it was accepted, above %.0f", before, limit)
	}
	r.waitFor("all fronts know", func() bool {
		return r.countLogLines("front-1", `"step":"completed"`) == 1 && r.countLogLines("front-2", `"step":"completed"`) == 1
	})
	reached := r.ok.Load()
	r.waitFor("calls are served by v2", func() bool { return r.ok.Load() > reached+100 })
	r.close()
	t.Logf("%d of %d calls failed", r.failed.Load(), r.sent.Load())
	res, _, err := r.do("front-1", platformCall{id: "last", method: http.MethodGet, target: "/safe/last", key: "yard-key"})
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
}

// TestPlatformRolloutBad rolls out versions that are bad in several ways. It guards against one that is
// completed, exposure above the bound, and calls to it after it was rolled back.
func TestPlatformRolloutBad(t *testing.T) {
	for name, bad := range map[string]standin.RoutedBadness{
		"fails":      {Fails: 0.4},
		"fails late": {Fails: 0.5, After: 40},
		"slow":       {Slows: 1, SlowMs: 200},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRolloutSite(t, "front-1", "front-2")
			for _, name := range newApps {
				r.setFaults(r.backends[name], standin.RoutedFaults{Bad: bad})
			}
			r.call(3)
			r.order(10)
			r.waitFor("the order is carried out", func() bool { return r.status() != "running" })
			is.Equal(r.status(), "rolled_back")
			r.waitFor("all fronts know", func() bool {
				return r.countLogLines("front-1", `"step":"rolled_back"`) == 1 && r.countLogLines("front-2", `"step":"rolled_back"`) == 1
			})
			ended := r.exposed()
			reached := r.ok.Load()
			r.waitFor("calls are served by v1", func() bool { return r.ok.Load() > reached+200 })
			r.close()
			is.Equal(r.exposed(), ended) // no call after the rollback
			r.checkExposure()
		})
	}
}
