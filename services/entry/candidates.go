package entry

import (
	"sort"

	"github.com/runworks/runworks"
)

// wakePendingLocked wakes all waiting requests after an agent connected,
// disconnected or began to drain.
func (e *Entry) wakePendingLocked() {
	for _, p := range e.pending {
		for l := range p.reservations {
			if !l.acceptsWorkLocked() {
				p.removeReservationLocked(l)
			}
		}
		p.signal()
	}
}

// eligibleLocked returns the connected agents of a service that accept work.
func (e *Entry) eligibleLocked(service string) []*link {
	snap := e.Config.Active()
	if snap == nil {
		return nil
	}
	var out []*link
	for l := range e.links {
		info := snap.Server(l.server)
		if info != nil && info.Service.Name == service && l.acceptsWorkLocked() {
			out = append(out, l)
		}
	}
	return out
}

// pickLocked returns the agent that gets the first reservation, and reports whether
// it is expected to have a free slot. It returns nil if no agent is eligible.
func (e *Entry) pickLocked(req *runworks.Request) (best *link, free bool) {
	eligible := e.eligibleLocked(req.Service)
	if len(eligible) == 0 {
		return nil, false
	}
	sort.Slice(eligible, func(i, j int) bool { return eligible[i].server < eligible[j].server })
	candidates := make([]runworks.Candidate, len(eligible))
	snap := e.Config.Active()
	for i, l := range eligible {
		candidates[i] = l.newCandidateLocked(snap.Server(l.server).Server.Speed)
	}
	i := e.Picker.Pick(req, candidates)
	return eligible[i], candidates[i].HasFreeSlot()
}

func (l *link) newCandidateLocked(speed float64) runworks.Candidate {
	if speed <= 0 {
		speed = 1
	}
	return runworks.Candidate{
		Server: l.server, Speed: speed, Slots: l.heartbeat.Slots, Running: l.heartbeat.Running, Waiting: l.heartbeat.Waiting,
		OwnLoad: l.granted + l.reservations, SentSinceReport: l.sentSinceReport,
	}
}
