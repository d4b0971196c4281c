package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/runworks/runworks"
)

const (
	// A server that asked an entry for rest gets at most restExtra calls from it between
	// restBound after that and the end of the time: the users' rule.
	restBound = 500 * time.Millisecond
	restExtra = 2
	// pressSends bounds the servers that are asked for one call, as package forward does.
	pressSends = 4
	// pressSlots is how many calls a server works on at once.
	pressSlots = 7
	// fairPart is how much of its equal part of the calls a server gets at least that rests
	// no more.
	fairPart = 0.6
)

// pressRests are the rests that servers of a press ask for.
type pressRests struct {
	// lasts is for how long a server that turns all calls away asks to be left alone.
	lasts map[string]time.Duration
	// askedFor are the rests that a server asked an entry's life for.
	askedFor map[string][]*pressRest
	// running is how many calls a server works on, and at how many it began since the last
	// look, by server.
	running, began map[string]int
	// rested and found count the calls that servers turned away, as they rest and as they
	// had no slot.
	rested, found int
}

func newPressRests() pressRests {
	return pressRests{lasts: map[string]time.Duration{}, askedFor: map[string][]*pressRest{}, running: map[string]int{}, began: map[string]int{}}
}

// pressRest is a rest that an entry was asked for, and the calls that it sent in it.
type pressRest struct {
	at   time.Time
	ends time.Time
	got  int
}

// turnedAway has a call arrive at its server, which may turn it away.
func (p *limitSim) turnedAway(e *simEntry, lease *Lease) bool {
	server := lease.Instance.ID
	key := string(e.Self) + " " + server
	now := time.Now()
	p.mu.Lock()
	for _, rest := range p.askedFor[key] {
		if now.Sub(rest.at) > restBound && now.Before(rest.ends) {
			rest.got++
		}
	}
	lasts := p.lasts[server]
	full := p.full && p.running[server] >= pressSlots
	switch {
	case lasts > 0:
		p.rested++
		p.askedFor[key] = append(p.askedFor[key], &pressRest{at: now.Add(simLatency), ends: now.Add(simLatency + lasts)})
	case full:
		p.found++
	default:
		p.running[server]++
		p.began[server]++
		p.mu.Unlock()
		return false
	}
	p.mu.Unlock()
	time.Sleep(simLatency)
	lease.ApplyReport(&runworks.ServerReport{Backoff: lasts}, now)
	lease.Release(Rejected)
	if p.sharesBackoff && lasts > 0 {
		p.shareRest(e, server, lasts)
	}
	return true
}

// shareRest has all others leave a server alone that asked one entry for rest.
func (p *limitSim) shareRest(from *simEntry, server string, lasts time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, to := range p.entries {
		if to != from && from.reaches(to) {
			to.mu.Lock()
			to.applyBackoffLocked(time.Now(), to.servers[server], lasts)
			to.mu.Unlock()
		}
	}
}

// left has a call leave its server.
func (p *limitSim) left(server string) { p.running[server]-- }

// stepRests runs a line of a script that concerns rests; ok is false for others.
func (p *limitSim) stepRests(t *testing.T, step string, a *simArgs) (out string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch step {
	case "rest":
		for i := range a.limited {
			p.lasts[p.servers[i]] = time.Duration(a.seconds) * time.Second
		}
	case "wake-up":
		p.lasts = map[string]time.Duration{}
	case "rested":
		most := 0
		for _, list := range p.askedFor {
			for _, rest := range list {
				most = max(most, rest.got)
			}
		}
		t.Logf("at most %d calls in a rest; %d turned away for rest, %d without a slot", most, p.rested, p.found)
		p.rested, p.found = 0, 0
		return fmt.Sprintf("rested=%t\n", most <= restExtra), true
	case "full-load":
		return p.fullLoad(t, a.limited), true
	case "count":
		t.Logf("%d found no slot while the rests ended", p.found)
		p.began, p.found = map[string]int{}, 0
	default:
		return "", false
	}
	return "", true
}

// fullLoad says whether the first of the servers, which rest no more, had their part of the
// calls since they were last counted.
func (p *limitSim) fullLoad(t *testing.T, first int) string {
	sum, part := 0, 0
	for i, server := range p.servers {
		sum += p.began[server]
		if i < first {
			part += p.began[server]
		}
	}
	got := float64(part) / float64(sum) * float64(len(p.servers)) / float64(first)
	t.Logf("%d calls of %d, %.2f of an equal part; %d found no slot", part, sum, got, p.found)
	return fmt.Sprintf("full-load=%t\n", got >= fairPart)
}

// TestServerRests presses on servers that ask for rest in virtual time, through entries that
// start, stand still and are cut off.
func TestServerRests(t *testing.T) { runLimitSims(t, "testdata/backoff") }
