package scheduler

import (
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/dispatch"
	"github.com/runworks/runworks/services/peers"
)

// Placed implements peers.SlotServer. Placements that are invalid or of an unknown grant are ignored.
func (v *Server) Placed(s *peers.Session, list []peers.Placement) {
	for i := range list {
		p := &list[i]
		if p.Canceled != "" {
			v.cancel(s, p.Canceled)
			continue
		}
		g, result, cause := v.find(s, p)
		if cause != "" {
			v.ignore(s, cause)
			continue
		}
		if p.Read {
			g.lease.RecordRemoteFirstEvent(g.promptTokens, milliseconds(p.FirstMs))
		}
		if p.Gaps != nil {
			g.lease.RecordRemoteGaps(p.Gaps.N, milliseconds(p.Gaps.SumMs), p.Gaps.Late)
		}
		if p.Ended != "" {
			g.lease.RecordLength(p.ExpectedTokens, p.Events)
			g.lease.Release(result)
		}
	}
}

// find returns the grant of a placement, and removes it if the call ended. The cause is set if the
// placement must be ignored.
func (v *Server) find(s *peers.Session, p *peers.Placement) (g grant, r dispatch.Result, cause string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	one := v.sessions[s]
	if one == nil {
		return g, r, "placement on a closed connection"
	}
	g, ok := one.grants[p.Grant]
	if !ok {
		return g, r, "unknown grant"
	}
	if p.Ended != "" {
		if r, ok = resultOf(p.Ended); !ok {
			return g, r, "unknown result"
		}
	}
	if !plausible(p) {
		// The end of a call counts also if its numbers do not: its slot would stay taken.
		if p.Ended == "" {
			return g, r, "implausible numbers"
		}
		v.ignoreLocked(s, "implausible numbers")
		*p = peers.Placement{Grant: p.Grant, Ended: p.Ended}
	}
	if p.Ended != "" {
		delete(one.grants, p.Grant)
	}
	return g, r, ""
}

// plausible reports whether the numbers of a placement can be those of a call.
func plausible(p *peers.Placement) bool {
	limit := float64(maxTimeLeft.Milliseconds())
	inRange := func(ms float64) bool { return ms >= 0 && ms <= limit }
	if !inRange(p.FirstMs) || p.Events < 0 || p.Events > maxTokens || p.ExpectedTokens < 0 || p.ExpectedTokens > maxTokens {
		return false
	}
	return p.Gaps == nil || inRange(p.Gaps.SumMs) && p.Gaps.N > 0 && p.Gaps.N <= maxTokens && p.Gaps.Late >= 0 && p.Gaps.Late <= p.Gaps.N
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// cancel ends the wait of a request whose caller disconnected, also if the request arrives later.
func (v *Server) cancel(s *peers.Session, id runworks.RequestID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	one := v.sessions[s]
	if one == nil {
		return
	}
	if cancel := one.waiting[id]; cancel != nil {
		cancel()
		return
	}
	now := time.Now()
	if len(one.canceled) >= maxCancellations {
		for id, at := range one.canceled {
			if now.Sub(at) > cancelMemory {
				delete(one.canceled, id)
			}
		}
	}
	if len(one.canceled) < maxCancellations {
		one.canceled[id] = now
	}
}
