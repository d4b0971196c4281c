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

// entry is an entry under test and what it received.
type entry struct {
	*Exchange
	network *memnet.Network
	server  *http.Server
	cancel  context.CancelFunc

	mu sync.Mutex
	// peers holds the last heartbeat of each other entry, by incarnation.
	peers map[runworks.Incarnation]Heartbeat
	gone  []runworks.Incarnation
	// handshakeAt is when the full use of limits arrived, by sender, unless a heartbeat preceded
	// it.
	handshakeAt map[runworks.Incarnation]time.Time
	// handshakes is the number of handshakes that it received.
	handshakes int
	// replaced holds the previous incarnations of entries that restarted.
	replaced []runworks.Incarnation
	running  int
	// read is how far it has read the list of servers; zero does not tell it.
	read runworks.Position
	// origins are those that it received, and knownOrigins those that it knows; nil in a version that has no such state.
	origins, knownOrigins []runworks.StreamOrigin
	// storeLost is what it sends as StoreLost, and changes the changes that it received.
	storeLost bool
	changes   []Change
	// stopping is what it sends as Stopping, and lost holds the entries whose connections closed.
	stopping bool
	lost     []runworks.Incarnation
	// suspects are those that it received, and knownSuspects those that it sends in a handshake.
	suspects      []runworks.Fingerprint
	knownSuspects []runworks.Suspect
	// noticeLists are the lists of server notices that it received, and knownNotices the one that
	// it sends in a handshake.
	noticeLists  [][]runworks.ServerNotice
	knownNotices []runworks.ServerNotice
	// heartbeats is the number of heartbeats that it received, and limits the use of limits in
	// them, by customer.
	heartbeats int
	limits     map[string]float64
}

// startEntry starts an entry with the incarnation NAME-life on a host of the same name.
func startEntry(t testing.TB, network *memnet.Network, name string, key string) *entry {
	t.Helper()
	return startIncarnation(t, network, name, key, name+"-life")
}

// startIncarnation starts an entry under an incarnation.
func startIncarnation(t testing.TB, network *memnet.Network, name, key, incarnation string) *entry {
	t.Helper()
	return startIncarnationAt(t, network, name, name, key, incarnation)
}

// startIncarnationAt starts an entry under an incarnation on a host.
func startIncarnationAt(t testing.TB, network *memnet.Network, name, host, key, incarnation string) *entry {
	t.Helper()
	return startWithInterval(t, network, 0, name, host, key, incarnation)
}

// startWithInterval starts an entry with an interval between heartbeats.
func startWithInterval(t testing.TB, network *memnet.Network, interval time.Duration, name, host, key, incarnation string) *entry {
	t.Helper()
	return startWith(t, network, &Exchange{
		Interval: interval, Self: Member{Name: name, Address: host + ":1", Incarnation: runworks.Incarnation(incarnation)},
		Dial: network.Dialer(host), Keys: rpc.FleetKeys{key},
	})
}

// startWith starts an entry and sets its callbacks.
func startWith(t testing.TB, network *memnet.Network, x *Exchange) *entry {
	t.Helper()
	e := &entry{
		Exchange: x, network: network, peers: map[runworks.Incarnation]Heartbeat{},
		handshakeAt: map[runworks.Incarnation]time.Time{}, limits: map[string]float64{},
	}
	e.setCallbacks()
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

// setCallbacks records what the entry receives, and supplies what it sends.
func (e *entry) setCallbacks() {
	e.Logger = hclog.NewNullLogger()
	e.Heartbeat = func() Heartbeat {
		e.mu.Lock()
		defer e.mu.Unlock()
		b := Heartbeat{StoreLost: e.storeLost, Stopping: e.stopping, Load: runworks.EntryLoad{Running: runworks.RunningCalls{"s": e.running}}}
		if e.read != (runworks.Position{}) {
			b.Positions = map[Subject]runworks.Position{SubjectServers: e.read}
		}
		return b
	}
	e.OnHeartbeat = func(_ time.Time, b *Heartbeat) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.peers[b.From.Incarnation] = *b
		e.changes = append(e.changes, b.Changes...) // of versions that do not relay changes
		e.heartbeats++
		for customer, u := range b.Limits.Customers {
			e.limits[customer] = u.Consumed
		}
	}
	e.OnChange = func(_ string, c *Change) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.changes = append(e.changes, *c)
	}
	if e.LimitUpdates == nil {
		e.LimitUpdates = func() runworks.LimitUse { return runworks.LimitUse{Version: 1} }
	}
	e.LimitSnapshot = func() runworks.LimitUse { return runworks.LimitUse{Version: 7} }
	e.OnHandshake = func(now time.Time, b *Heartbeat) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.handshakes++
		if _, early := e.peers[b.From.Incarnation]; b.Limits.Version == 7 && !early {
			e.handshakeAt[b.From.Incarnation] = now
		}
	}
	e.Suspects = func() []runworks.Suspect {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.knownSuspects
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
	e.OnDisconnected = func(id runworks.Incarnation) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.lost = append(e.lost, id)
	}
	e.OnReplaced = func(old runworks.Incarnation) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.replaced = append(e.replaced, old)
	}
	e.ServerNotices = func() []runworks.ServerNotice {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.knownNotices
	}
	e.OnServerNotices = func(_ string, list []runworks.ServerNotice) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.noticeLists = append(e.noticeLists, list)
	}
	e.State = func(s Subject) (any, error) {
		if s == SubjectStreams {
			return e.streamState()
		}
		return e.Self.Name + " knows", nil
	}
	e.OnStreamOrigins = func(list []runworks.StreamOrigin) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.origins = append(e.origins, list...)
	}
}

// setRunning sets the number of calls that the entry reports as running.
func (e *entry) setRunning(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = n
}

// setStopping makes the entry report that its planned stop began.
func (e *entry) setStopping() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopping = true
}

// handshakeCount returns the number of handshakes that the entry received.
func (e *entry) handshakeCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.handshakes
}

// lostIDs returns the incarnations of the entries whose connections closed.
func (e *entry) lostIDs() []runworks.Incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lost
}

// runningAt returns the number of calls that another entry reported as running; -1 if none.
func (e *entry) runningAt(name string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	b, ok := e.peers[runworks.Incarnation(name+"-life")]
	if !ok {
		return -1
	}
	return b.Load.Running["s"]
}

// inNetwork runs a test with entries a and b, of which only a has the other in its member list.
func inNetwork(t *testing.T, keyOfB string, test func(is *is.I, network *memnet.Network, a, b *entry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		a := startEntry(t, network, "a", "key-of-the-fleet")
		b := startEntry(t, network, "b", keyOfB)
		a.SetMembers([]Member{a.Self, b.Self})
		time.Sleep(time.Second)
		test(is.New(t), network, a, b)
		endNetwork(network, a, b)
	})
}

// endNetwork stops entries and waits until their goroutines have ended.
func endNetwork(network *memnet.Network, entries ...*entry) {
	for _, e := range entries {
		e.cancel()
		_ = e.server.Close()
	}
	network.Close()
	time.Sleep(time.Minute)
}

// TestEntriesExchangeHeartbeats checks that an unlisted entry is connected back, and that changes
// arrive within a heartbeat interval.
func TestEntriesExchangeHeartbeats(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, _ *memnet.Network, a, b *entry) {
		is.Equal(a.runningAt("b"), 0)
		is.Equal(b.runningAt("a"), 0)
		a.setRunning(3)
		time.Sleep(2 * DefaultInterval)
		is.Equal(b.runningAt("a"), 3)
		is.Equal(a.LiveCount(), 1)
	})
}

// TestNewIncarnationGetsHandshake checks that a restarted entry receives the full state within
// milliseconds and before any heartbeat, also if the connection to its previous incarnation seems
// open, or if the other entry waits before it dials again.
func TestNewIncarnationGetsHandshake(t *testing.T) {
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
				start := time.Now()
				restarted := startIncarnationAt(t, network, "b", c.host, "key-of-the-fleet", "b-second-life")
				restarted.SetMembers([]Member{a.Self})
				time.Sleep(DefaultInterval)
				restarted.mu.Lock()
				handshakeAt := restarted.handshakeAt["a-life"]
				restarted.mu.Unlock()
				is.True(!handshakeAt.IsZero())
				is.True(handshakeAt.Sub(start) <= 20*time.Millisecond) // several network delays of 1 ms
				restarted.cancel()
				_ = restarted.server.Close()
			})
		})
	}
}

// TestUnreachableEntryTimesOut checks that an unreachable entry is removed, and is live again
// after the network is restored.
func TestUnreachableEntryTimesOut(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, b *entry) {
		network.Partition("a", "b")
		time.Sleep(minPeerTimeout + time.Second)
		is.Equal(a.LiveCount(), 0)
		is.Equal(len(a.gone), 1)
		network.Reset("a", "b")
		network.Heal("a", "b")
		b.setRunning(7)
		time.Sleep(2 * maxRedialWait)
		is.Equal(a.runningAt("b"), 7)
		is.Equal(a.LiveCount(), 1)
	})
}

func TestRequestState(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, _ *memnet.Network, a, _ *entry) {
		var out string
		is.NoErr(a.RequestState(context.Background(), "b", SubjectRouting, &out))
		is.Equal(out, "b knows")
		is.True(a.RequestState(context.Background(), "nobody", SubjectRouting, &out) != nil)
	})
}

// TestOtherFleetIsRejected checks that connections with another fleet key are rejected.
func TestOtherFleetIsRejected(t *testing.T) {
	inNetwork(t, "key-of-another-fleet", func(is *is.I, _ *memnet.Network, a, b *entry) {
		is.Equal(a.runningAt("b"), -1)
		is.Equal(b.runningAt("a"), -1)
		is.Equal(a.Reach(), Reach{Known: 1, KeyRefused: 1})
	})
}

// TestKeyRotation guards against a split of the fleet while a key is replaced: entries that send
// the new key first reach those that accept only the old one.
func TestKeyRotation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memnet.New(time.Millisecond)
		old := startEntry(t, network, "a", "the-old-fleet-key")
		rotated := startWith(t, network, &Exchange{
			Self: Member{Name: "b", Address: "b:1", Incarnation: "b-life"},
			Dial: network.Dialer("b"), Keys: rpc.FleetKeys{"the-new-fleet-key", "the-old-fleet-key"},
		})
		rotated.SetMembers([]Member{old.Self, rotated.Self})
		time.Sleep(time.Second)
		is.Equal(old.Reach(), Reach{Known: 1, Connected: 1, Live: 1})
		is.Equal(rotated.Reach(), Reach{Known: 1, Connected: 1, Live: 1})
		for _, e := range []*entry{old, rotated} {
			e.cancel()
			_ = e.server.Close()
		}
		network.Close()
		time.Sleep(time.Minute)
	})
}

// TestBadHeartbeat checks that invalid messages return an error.
func TestBadHeartbeat(t *testing.T) {
	is := is.New(t)
	x := &inbound{Exchange: &Exchange{Logger: hclog.NewNullLogger()}}
	_, err := x.handle(context.Background(), MethodHeartbeat, json.RawMessage(`{`))
	is.True(err != nil)
	_, err = x.handle(context.Background(), "entry.unknown", nil)
	is.True(err != nil)
}

// TestNewIncarnationReplacesOld checks that OnReplaced is called when a restarted entry is seen,
// also after its previous incarnation timed out.
func TestNewIncarnationReplacesOld(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, b *entry) {
		is.Equal(a.runningAt("b"), 0)
		b.cancel()
		_ = b.server.Close()
		time.Sleep(2 * minPeerTimeout)
		restarted := startIncarnation(t, network, "b", "key-of-the-fleet", "b-second-life")
		defer func() {
			restarted.cancel()
			_ = restarted.server.Close()
		}()
		time.Sleep(5 * time.Second)
		a.mu.Lock()
		defer a.mu.Unlock()
		is.Equal(a.replaced, []runworks.Incarnation{"b-life"})
		is.Equal(a.peers["b-second-life"].From.Name, "b")
	})
}

// TestSettled checks that a starting entry waits for the handshake of another one, not at all if
// no other is listed, and for at most SettleTimeout if none answers.
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
				is.True(!c.Settled(time.Now())) // the member list is not known
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

// TestSuspendedEntry checks that an entry removes the others after a suspension that exceeds the
// timeout, and sees them again with their next heartbeats.
func TestSuspendedEntry(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, _ *memnet.Network, a, _ *entry) {
		a.HostSuspended(minPeerTimeout / 2)
		time.Sleep(DefaultInterval + 10*time.Millisecond) // between two heartbeats
		is.Equal(a.LiveCount(), 1)
		a.HostSuspended(minPeerTimeout + time.Second)
		time.Sleep(2 * idleInterval)
		is.Equal(a.LiveCount(), 1)
		a.mu.Lock()
		defer a.mu.Unlock()
		is.Equal(a.gone, []runworks.Incarnation{"b-life"})
	})
}
