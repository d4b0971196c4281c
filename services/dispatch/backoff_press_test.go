package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/runworks/runworks"
)

const (
	// The system has to guarantee that an entry sends a server at most maxExtraCalls between
	// backoffReaction after the server requested a back-off and the end of the back-off.
	backoffReaction = 500 * time.Millisecond
	maxExtraCalls   = 2
	// maxPressSends bounds the servers that a call is sent to, as in package forward.
	maxPressSends = 4
	// pressSlots is the number of calls that a server runs at once.
	pressSlots = 7
	// minFairShare is the least fraction of its equal share of the calls that a server has to get
	// after its back-off.
	minFairShare = 0.6
)

// pressBackoffs is the state of the back-offs that the servers of a press test request.
type pressBackoffs struct {
	// durations holds the back-offs that servers request with each rejected call.
	durations map[string]time.Duration
	// requested holds the back-offs by entry and server.
	requested map[string][]*pressBackoff
	// running and began count the calls of each server: those that run, and those that started
	// since the last count.
	running, began map[string]int
	// backedOff and foundFull count the calls rejected because of a back-off and of a lack of
	// slots.
	backedOff, foundFull int
}

func newPressBackoffs() pressBackoffs {
	return pressBackoffs{
		durations: map[string]time.Duration{}, requested: map[string][]*pressBackoff{},
		running: map[string]int{}, began: map[string]int{},
	}
}

// pressBackoff is a back-off that was requested of an entry, and the number of calls that the
// entry sent during it.
type pressBackoff struct {
	at    time.Time
	until time.Time
	calls int
}

// rejects simulates the arrival of a call at its server and reports whether the server rejects
// it.
func (p *limitSim) rejects(e *simEntry, lease *Lease) bool {
	server := lease.Instance.ID
	key := string(e.Self) + " " + server
	now := time.Now()
	p.mu.Lock()
	for _, one := range p.requested[key] {
		if now.Sub(one.at) > backoffReaction && now.Before(one.until) {
			one.calls++
		}
	}
	duration := p.durations[server]
	full := p.full && p.running[server] >= pressSlots
	switch {
	case duration > 0:
		p.backedOff++
		p.requested[key] = append(p.requested[key], &pressBackoff{
			at: now.Add(simLatency), until: now.Add(simLatency + duration),
		})
	case full:
		p.foundFull++
	default:
		p.running[server]++
		p.began[server]++
		p.mu.Unlock()
		return false
	}
	p.mu.Unlock()
	time.Sleep(simLatency)
	lease.ApplyReport(&runworks.ServerReport{Backoff: duration}, now)
	lease.Release(Rejected)
	if p.sharesBackoff && duration > 0 {
		p.shareBackoff(e, server, duration)
	}
	return true
}

// shareBackoff applies a back-off that was requested of one entry to all entries that it
// reaches.
func (p *limitSim) shareBackoff(from *simEntry, server string, duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, to := range p.entries {
		if to != from && from.reaches(to) {
			to.mu.Lock()
			to.applyBackoffLocked(time.Now(), to.servers[server], duration)
			to.mu.Unlock()
		}
	}
}

// releaseSlot ends a call at its server.
func (p *limitSim) releaseSlot(server string) { p.running[server]-- }

// stepBackoff runs a line of a script that concerns back-offs; ok is false for other lines.
func (p *limitSim) stepBackoff(t *testing.T, step string, a *simArgs) (out string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch step {
	case "rest":
		for i := range a.limited {
			p.durations[p.servers[i]] = time.Duration(a.seconds) * time.Second
		}
	case "wake-up":
		p.durations = map[string]time.Duration{}
	case "rested":
		most := 0
		for _, list := range p.requested {
			for _, one := range list {
				most = max(most, one.calls)
			}
		}
		t.Logf("at most %d calls in a back-off; %d rejected because of a back-off, %d without a slot",
			most, p.backedOff, p.foundFull)
		p.backedOff, p.foundFull = 0, 0
		return fmt.Sprintf("rested=%t\n", most <= maxExtraCalls), true
	case "full-load":
		return p.fullLoad(t, a.limited), true
	case "count":
		t.Logf("%d found no slot while the back-offs ended", p.foundFull)
		p.began, p.foundFull = map[string]int{}, 0
	default:
		return "", false
	}
	return "", true
}

// fullLoad reports whether the first servers, whose back-offs are over, got minFairShare of
// their equal share of the calls since the last count.
func (p *limitSim) fullLoad(t *testing.T, first int) string {
	sum, part := 0, 0
	for i, server := range p.servers {
		sum += p.began[server]
		if i < first {
			part += p.began[server]
		}
	}
	got := float64(part) / float64(sum) * float64(len(p.servers)) / float64(first)
	t.Logf("%d calls of %d, %.2f of an equal share; %d found no slot", part, sum, got, p.foundFull)
	return fmt.Sprintf("full-load=%t\n", got >= minFairShare)
}

// TestServerBackoff runs entries against servers that request back-offs, in virtual time, while
// entries restart, freeze and are disconnected.
func TestServerBackoff(t *testing.T) { runLimitSims(t, "testdata/backoff") }
