package peers

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/rpc"
	"github.com/runworks/runworks/standin/memnet"
)

// entry is one entry of a test, with what it heard.
type entry struct {
	*Exchange
	network *memnet.Network
	server  *http.Server
	cancel  context.CancelFunc

	mu    sync.Mutex
	heard map[runworks.Incarnation]Heartbeat
	gone  []runworks.Incarnation
	// greeted is when each life of another entry told what it counts.
	greeted map[runworks.Incarnation]time.Time
	// greetings is how many greetings it heard.
	greetings int
	// replaced are the lives that were over as a new one of their name was heard.
	replaced []runworks.Incarnation
	tells    int
	// storeLost is what the entry tells of the store, and changes what it was told of it.
	storeLost bool
	changes   []Change
	// suspects are the requests it was told of, and knows those it tells in a greeting.
	suspects []runworks.Fingerprint
	knows    []runworks.Suspect
	// serverWords are the tellings of servers' words that it heard, and knowsWords those
	// it tells in a greeting.
	serverWords [][]runworks.ServerNotice
	knowsWords  []runworks.ServerNotice
	// beats is how many heartbeats it heard, and limits what they told of customers.
	beats  int
	limits map[string]float64
}

// startEntry starts an entry on the network; its name is its host.
func startEntry(t testing.TB, network *memnet.Network, name string, key string) *entry {
	t.Helper()
	return startLife(t, network, name, key, name+"-life")
}

// startLife starts an entry under an incarnation.
func startLife(t testing.TB, network *memnet.Network, name, key, life string) *entry {
	t.Helper()
	return startLifeAt(t, network, name, name, key, life)
}

// startLifeAt does so on a host.
func startLifeAt(t testing.TB, network *memnet.Network, name, host, key, life string) *entry {
	t.Helper()
	return startEvery(t, network, 0, name, host, key, life)
}

// startEvery does so for an entry that tells so often.
func startEvery(t testing.TB, network *memnet.Network, every time.Duration, name, host, key, life string) *entry {
	t.Helper()
	return startWith(t, network, &Exchange{
		Interval: every, Self: Member{Name: name, Address: host + ":1", Incarnation: runworks.Incarnation(life)},
		Dial: network.Dialer(host), Keys: rpc.FleetKeys{key},
	})
}

// startWith starts an entry; what it tells and hears is filled in.
func startWith(t testing.TB, network *memnet.Network, x *Exchange) *entry {
	t.Helper()
	e := &entry{Exchange: x, network: network, heard: map[runworks.Incarnation]Heartbeat{}, greeted: map[runworks.Incarnation]time.Time{}, limits: map[string]float64{}}
	e.fill()
	l, err := network.Listen(x.Self.Address)
	if err != nil {
		t.Fatal(err)
	}
	e.server = &http.Server{Handler: e.Exchange} //nolint:gosec // a test's server
	go func() { _ = e.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go e.Run(ctx)
	return e
}

// fill notes what the entry hears, and lets it tell.
func (e *entry) fill() {
	e.Logger = hclog.NewNullLogger()
	e.Heartbeat = func() Heartbeat {
		e.mu.Lock()
		defer e.mu.Unlock()
		return Heartbeat{StoreLost: e.storeLost, Load: runworks.EntryLoad{Running: runworks.RunningCalls{"s": e.tells}}}
	}
	e.OnHeartbeat = func(_ time.Time, b *Heartbeat) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.heard[b.From.Incarnation] = *b
		e.changes = append(e.changes, b.Changes...)
		e.beats++
		for customer, u := range b.Limits.Customers {
			e.limits[customer] = u.Consumed
		}
	}
	if e.LimitUpdates == nil {
		e.LimitUpdates = func() runworks.LimitUse { return runworks.LimitUse{Version: 1} }
	}
	e.LimitSnapshot = func() runworks.LimitUse { return runworks.LimitUse{Version: 7} }
	e.OnHandshake = func(now time.Time, b *Heartbeat) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.greetings++
		if _, early := e.heard[b.From.Incarnation]; b.Limits.Version == 7 && !early {
			e.greeted[b.From.Incarnation] = now
		}
	}
	e.Suspects = func() []runworks.Suspect {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.knows
	}
	e.OnSuspects = func(_ string, list []runworks.Suspect) {
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, s := range list {
			e.suspects = append(e.suspects, s.Fingerprint)
		}
	}
	e.OnUnreachable = func(from runworks.Incarnation) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.gone = append(e.gone, from)
	}
	e.OnReplaced = func(old runworks.Incarnation) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.replaced = append(e.replaced, old)
	}
	e.ServerNotices = func() []runworks.ServerNotice {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.knowsWords
	}
	e.OnServerNotices = func(_ string, list []runworks.ServerNotice) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.serverWords = append(e.serverWords, list)
	}
	e.State = func(Subject) (any, error) { return e.Self.Name + " knows", nil }
}

// tell changes what an entry tells the others.
func (e *entry) tell(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tells = n
}

// runsAt gives what an entry heard of another's calls; -1 if it heard nothing.
func (e *entry) runsAt(name string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	b, ok := e.heard[runworks.Incarnation(name+"-life")]
	if !ok {
		return -1
	}
	return b.Load.Running["s"]
}

// inNetwork runs a test with entries a and b, of which a knows b from the list.
func inNetwork(t *testing.T, keyOfB string, test func(is *is.I, network *memnet.Network, a, b *entry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		a := startEntry(t, network, "a", "key-of-the-fleet")
		b := startEntry(t, network, "b", keyOfB)
		a.SetMembers([]Member{a.Self, b.Self})
		time.Sleep(time.Second)
		test(is.New(t), network, a, b)
		for _, e := range []*entry{a, b} {
			e.cancel()
			_ = e.server.Close()
		}
		network.Close()
		time.Sleep(time.Minute)
	})
}

// TestEntriesHearEachOther lets an entry that nobody listed be dialled back, and
// passes each change on within a heartbeat.
func TestEntriesHearEachOther(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, _ *memnet.Network, a, b *entry) {
		is.Equal(a.runsAt("b"), 0)
		is.Equal(b.runsAt("a"), 0)
		a.tell(3)
		time.Sleep(2 * DefaultInterval)
		is.Equal(b.runsAt("a"), 3)
		is.Equal(a.LiveCount(), 1)
	})
}

// TestNewLifeIsGreeted tells a new life what the others know within some milliseconds
// and before any heartbeat, also when the way to its old one seems open or was waited for.
func TestNewLifeIsGreeted(t *testing.T) {
	for _, c := range []struct {
		name string
		gone time.Duration
		host string
	}{{"at once", 0, "b"}, {"after a while", 10 * time.Second, "b"}, {"at another address", time.Second, "c"}} {
		t.Run(c.name, func(t *testing.T) {
			inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, b *entry) {
				_ = b.server.Close()
				if c.gone > 0 {
					b.cancel()
					time.Sleep(c.gone)
				}
				began := time.Now()
				again := startLifeAt(t, network, "b", c.host, "key-of-the-fleet", "b-second-life")
				again.SetMembers([]Member{a.Self})
				time.Sleep(DefaultInterval)
				again.mu.Lock()
				greeted := again.greeted["a-life"]
				again.mu.Unlock()
				is.True(!greeted.IsZero())
				is.True(greeted.Sub(began) <= 20*time.Millisecond) // some ways of the network, 1 ms each
				again.cancel()
				_ = again.server.Close()
			})
		})
	}
}

// TestSilentEntryIsGone counts an entry as gone that is cut off, and hears it again
// afterwards.
func TestSilentEntryIsGone(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, b *entry) {
		network.Cut("a", "b")
		time.Sleep(silentAfter + time.Second)
		is.Equal(a.LiveCount(), 0)
		is.Equal(len(a.gone), 1)
		network.Reset("a", "b")
		network.Mend("a", "b")
		b.tell(7)
		time.Sleep(2 * lastRedial)
		is.Equal(a.runsAt("b"), 7)
		is.Equal(a.LiveCount(), 1)
	})
}

// TestAskState asks another entry for what it knows.
func TestAskState(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, _ *memnet.Network, a, _ *entry) {
		var out string
		is.NoErr(a.RequestState(context.Background(), "b", SubjectRouting, &out))
		is.Equal(out, "b knows")
		is.True(a.RequestState(context.Background(), "nobody", SubjectRouting, &out) != nil)
	})
}

// TestOtherFleetIsRefused takes no connection that shows another fleet's key.
func TestOtherFleetIsRefused(t *testing.T) {
	inNetwork(t, "key-of-another-fleet", func(is *is.I, _ *memnet.Network, a, b *entry) {
		is.Equal(a.runsAt("b"), -1)
		is.Equal(b.runsAt("a"), -1)
	})
}

// TestBadHeartbeat refuses what can't be read.
func TestBadHeartbeat(t *testing.T) {
	is := is.New(t)
	x := &hearing{Exchange: &Exchange{Logger: hclog.NewNullLogger()}}
	_, err := x.handle(context.Background(), MethodHeartbeat, json.RawMessage(`{`))
	is.True(err != nil)
	_, err = x.handle(context.Background(), "entry.unknown", nil)
	is.True(err != nil)
}

// TestNewLifeReplacesTheOld tells at once that a life of an entry is over when the
// entry is heard under a new one, also after it had fallen silent.
func TestNewLifeReplacesTheOld(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, b *entry) {
		is.Equal(a.runsAt("b"), 0)
		b.cancel()
		_ = b.server.Close()
		time.Sleep(2 * silentAfter)
		again := startLife(t, network, "b", "key-of-the-fleet", "b-second-life")
		defer func() {
			again.cancel()
			_ = again.server.Close()
		}()
		time.Sleep(5 * time.Second)
		a.mu.Lock()
		defer a.mu.Unlock()
		is.Equal(a.replaced, []runworks.Incarnation{"b-life"})
		is.Equal(a.heard["b-second-life"].From.Name, "b")
	})
}

// TestSettled waits at the start for the greeting of another entry, for none if none is
// listed, and not for long if none answers.
func TestSettled(t *testing.T) {
	for _, one := range []struct {
		name   string
		listed []Member
		answer bool
		from   time.Duration
	}{
		{"another answers", []Member{{Name: "c", Address: "c:1"}, {Name: "a", Address: "a:1"}}, true, 4 * time.Millisecond},
		{"none is listed", []Member{{Name: "c", Address: "c:1"}}, true, 0},
		{"none answers", []Member{{Name: "d", Address: "d:1"}}, false, SettleTimeout},
	} {
		t.Run(one.name, func(t *testing.T) {
			inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, _, _ *entry) {
				c := startEntry(t, network, "c", "key-of-the-fleet")
				synctest.Wait()
				is.True(!c.Settled(time.Now())) // the list is not known
				c.SetMembers(one.listed)
				if one.from > 0 {
					time.Sleep(one.from - time.Millisecond)
					is.True(!c.Settled(time.Now()))
					time.Sleep(10 * time.Millisecond)
				}
				is.True(c.Settled(time.Now()))
				c.cancel()
				_ = c.server.Close()
			})
		})
	}
}

// TestSuspendedEntry counts the others as gone after a suspension that is longer than a
// silence, and hears them again with their next heartbeats.
func TestSuspendedEntry(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, _ *memnet.Network, a, _ *entry) {
		a.HostSuspended(silentAfter / 2)
		time.Sleep(DefaultInterval + 10*time.Millisecond) // between two heartbeats
		is.Equal(a.LiveCount(), 1)
		a.HostSuspended(silentAfter + time.Second)
		time.Sleep(2 * quietEvery)
		is.Equal(a.LiveCount(), 1)
		a.mu.Lock()
		defer a.mu.Unlock()
		is.Equal(a.gone, []runworks.Incarnation{"b-life"})
	})
}
