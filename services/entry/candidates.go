package entry

import (
	"sort"

	"github.com/runworks/runworks"
)

// recheckLocked wakes all waiting requests after agents came, went or left.
func (e *Entry) recheckLocked() {
	for _, p := range e.pending {
		for l := range p.standing {
			if !l.takesWorkLocked() {
				p.forgetLocked(l)
			}
		}
		p.signal()
	}
}

// eligibleLocked gives the connected agents of a service that take work.
func (e *Entry) eligibleLocked(service string) []*link {
	now := e.Config.InForce()
	if now == nil {
		return nil
	}
	var out []*link
	for l := range e.links {
		place := now.Place(l.server)
		if place != nil && place.Service.Name == service && l.takesWorkLocked() {
			out = append(out, l)
		}
	}
	return out
}

// bestLocked asks the picker which agent gets the first ticket, and tells whether
// that one seems to have a free slot; nil if there is none to ask for.
func (e *Entry) bestLocked(req *runworks.Request) (best *link, free bool) {
	eligible := e.eligibleLocked(req.Service)
	if len(eligible) == 0 {
		return nil, false
	}
	sort.Slice(eligible, func(i, j int) bool { return eligible[i].server < eligible[j].server })
	candidates := make([]runworks.Candidate, len(eligible))
	now := e.Config.InForce()
	for i, l := range eligible {
		candidates[i] = l.candidateLocked(now.Place(l.server).Server.Speed)
	}
	i := e.Picker.Pick(req, candidates)
	return eligible[i], candidates[i].HasFreeSlot()
}

func (l *link) candidateLocked(speed float64) runworks.Candidate {
	if speed <= 0 {
		speed = 1
	}
	return runworks.Candidate{
		Server: l.server, Speed: speed, Slots: l.beat.Slots, Running: l.beat.Running, Waiting: l.beat.Waiting,
		OwnLoad: l.granted + l.standing, SentSinceReport: l.sentSince,
	}
}
