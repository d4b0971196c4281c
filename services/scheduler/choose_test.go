package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/peers"
)

// peerState returns a front that can schedule.
func peerState(name string, now time.Time) peers.PeerState {
	return peers.PeerState{
		Member:   peers.Member{Name: name, Hall: "a", Incarnation: runworks.Incarnation(name + "-life"), CPU: 0.8},
		LastSeen: now, Schedules: true, Connected: true,
	}
}

func names(list []peers.Member) []string {
	var out []string
	for _, one := range list {
		out = append(out, one.Name)
	}
	return out
}

// TestCandidates guards against a scheduler that can't answer: of each kind of front that must not be
// asked, none is a candidate.
func TestCandidates(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	self := peers.Member{Name: "self", Hall: "a", Incarnation: "self-life"}
	others := []peers.PeerState{peerState("fit", now)}
	for name, change := range map[string]func(one *peers.PeerState){
		"previous version": func(one *peers.PeerState) { one.Schedules = false },
		"not connected":    func(one *peers.PeerState) { one.Connected = false },
		"stopping":         func(one *peers.PeerState) { one.Stopping = true },
		"silent":           func(one *peers.PeerState) { one.LastSeen = now.Add(-silenceTimeout - 1) },
	} {
		one := peerState(name, now)
		change(&one)
		others = append(others, one)
	}
	others[0].LastSeen = now.Add(-silenceTimeout)
	is.Equal(names(candidates(now, self, false, scope(self, others), silenceTimeout)), []string{"self", "fit"})
	is.Equal(names(candidates(now, self, true, others, silenceTimeout)), []string{"fit"})
	is.Equal(names(candidates(now, self, true, nil, silenceTimeout)), nil)
}

// TestScope guards against a scheduler in another hall where there are many fronts, and against one
// scheduler for each hall where there are few.
func TestScope(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	self := peers.Member{Name: "self", Hall: "a", Incarnation: "self-life"}
	var others []peers.PeerState
	for i := range runworks.ManyEntriesThreshold {
		one := peerState(fmt.Sprint(i), now)
		one.Hall = []string{"a", "b"}[i%2]
		others = append(others, one)
	}
	is.Equal(len(candidates(now, self, false, scope(self, others), silenceTimeout)), runworks.ManyEntriesThreshold+1)
	others = append(others, peerState("more", now))
	list := candidates(now, self, false, scope(self, others), silenceTimeout)
	is.Equal(len(list), runworks.ManyEntriesThreshold/2+2)
	for _, one := range list {
		is.Equal(one.Hall, "a")
	}
}

// TestSilenceOfManyFronts guards against a live scheduler that is taken for silent, where many fronts send
// their heartbeats at long intervals.
func TestSilenceOfManyFronts(t *testing.T) {
	is := is.New(t)
	is.Equal(silenceAfter(0), silenceTimeout)
	is.Equal(silenceAfter(48), silenceTimeout)
	is.Equal(silenceAfter(100), silenceTimeout)
	is.Equal(silenceAfter(128), 512*time.Millisecond)
}

// TestChoose guards against a scheduler on a small front, and against fronts that choose differently:
// the choice does not depend on the order, moves only when the chosen front is gone, and differs
// between services.
func TestChoose(t *testing.T) {
	is := is.New(t)
	var list []peers.Member
	for i := range 24 {
		one := peers.Member{Incarnation: runworks.Incarnation(fmt.Sprint("life-", i)), CPU: 0.144}
		if i%4 == 0 {
			one.CPU = 0.8
		}
		list = append(list, one)
	}
	used := map[runworks.Incarnation]bool{}
	for i := range 100 {
		service := fmt.Sprint("service-", i)
		first := choose(service, list)
		is.Equal(first.CPU, 0.8)
		used[first.Incarnation] = true
		var reversed, rest []peers.Member
		for _, one := range list {
			reversed = append([]peers.Member{one}, reversed...)
			if one != first {
				rest = append(rest, one)
			}
		}
		is.Equal(choose(service, reversed), first)
		second := choose(service, rest)
		is.True(second != first)
		without := rest[:0:0]
		for _, one := range list {
			if one != second {
				without = append(without, one)
			}
		}
		is.Equal(choose(service, without), first)
	}
	is.Equal(len(used), 6)
	is.Equal(choose("service", nil), peers.Member{})
	unknown := []peers.Member{{Incarnation: "a"}, {Incarnation: "b"}}
	is.True(choose("service", unknown).Incarnation != "")
}
