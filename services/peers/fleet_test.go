package peers_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/rpc"
	"github.com/runworks/runworks/services/peers"
	"github.com/runworks/runworks/services/quota"
	"github.com/runworks/runworks/standin/memnet"
)

// fleet is a set of entries that exchange their state over a network in memory.
type fleet struct {
	network *memnet.Network
	entries []*fleetEntry
}

// fleetEntry is an entry with its count of the customers' limits.
type fleetEntry struct {
	peers.Exchange
	quota  *quota.Quota
	server *http.Server
	cancel context.CancelFunc
}

// add starts an entry in a hall with fleet keys. It knows the entries that were added before.
func (f *fleet) add(t *testing.T, hall string, keys rpc.FleetKeys) *fleetEntry {
	t.Helper()
	name := fmt.Sprintf("%s-%d", hall, len(f.entries))
	self := peers.Member{Name: name, Address: name + ":1", Hall: hall, Incarnation: runworks.Incarnation(name + "-life")}
	e := &fleetEntry{quota: &quota.Quota{Self: self.Incarnation, Started: time.Now()}}
	e.Exchange = peers.Exchange{
		Self: self, Dial: f.network.Dialer(name), Keys: keys, Logger: hclog.NewNullLogger(),
		Heartbeat:     func() peers.Heartbeat { return peers.Heartbeat{} },
		LimitUpdates:  func() runworks.LimitUse { return e.quota.Updates(time.Now()) },
		LimitSnapshot: func() runworks.LimitUse { return e.quota.FullUse(time.Now()) },
		OnHeartbeat: func(now time.Time, b *peers.Heartbeat) {
			e.quota.ApplyUpdates(now, b.From.Incarnation, b.Limits)
		},
		OnHandshake: func(now time.Time, b *peers.Heartbeat) {
			e.quota.ApplyFullUse(now, b.From.Incarnation, b.Limits)
		},
		OnUnreachable: func(runworks.Incarnation) {},
		OnReplaced:    func(old runworks.Incarnation) { e.quota.EndIncarnation(time.Now(), old) },
	}
	l, err := f.network.Listen(self.Address)
	if err != nil {
		t.Fatal(err)
	}
	e.server = &http.Server{Handler: &e.Exchange, ReadHeaderTimeout: time.Second}
	go func() { _ = e.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	members := []peers.Member{self}
	for _, other := range f.entries {
		members = append(members, other.Self)
	}
	f.entries = append(f.entries, e)
	go e.Run(ctx)
	e.SetMembers(members)
	return e
}

// stop ends all entries.
func (f *fleet) stop() {
	for _, e := range f.entries {
		e.cancel()
		_ = e.server.Close()
	}
	f.network.Close()
	time.Sleep(time.Minute)
}

// TestLimitAcrossRegions guards against a fleet that is split by region, each part of which
// admits a customer's whole limit.
func TestLimitAcrossRegions(t *testing.T) {
	const (
		perRegion  = 6
		callTokens = 100
		interval   = 10 * time.Millisecond
		duration   = 20 * time.Second
		overage    = 0.1
	)
	customer := &runworks.RoutedCustomer{Name: "c", TokensPerSecond: 20000}
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{network: memnet.New(8 * time.Millisecond)}
		for i := range 2 * perRegion {
			region := []string{"north", "south"}[i%2]
			f.add(t, region, rpc.FleetKeys{"fleet@10.200.1.7:8225", region + "@10.200.1.7:8225"})
		}
		var consumed []time.Time
		for start := time.Now(); time.Since(start) < duration; time.Sleep(interval) {
			for _, e := range f.entries {
				if d := e.quota.Reserve(time.Now(), customer, callTokens); d.Debit != nil {
					d.Debit.Commit(time.Now())
					consumed = append(consumed, time.Now())
				}
			}
		}
		f.stop()
		allowed := customer.TokensPerSecond * quota.DefaultWindow.Seconds() * (1 + overage) / callTokens
		first, most := 0, 0
		for i, at := range consumed {
			for at.Sub(consumed[first]) > quota.DefaultWindow {
				first++
			}
			most = max(most, i-first+1)
		}
		is := is.New(t)
		is.True(most > int(allowed/2)) // the limit is used
		if most > int(allowed) {
			t.Errorf("%d calls in a window, %.0f allowed", most, allowed)
		}
	})
}
