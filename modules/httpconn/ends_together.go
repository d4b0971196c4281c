package httpconn

import (
	"slices"
	"time"

	"github.com/runworks/runworks/modules/tcp"
)

// beside reports whether a connection that was open before another one's end was closed with it.
func (e connEnd) beside(own connEnd) bool {
	within := coincidence
	if e.kind == endsUnused {
		within = unusedCoincidence
	}
	return e.conn != own.conn && e.dated && e.opened.Before(own.at.Add(-coincidence)) && e.at.Sub(own.at).Abs() <= within
}

// endedTogether reports whether a response was cut, by the other connections to its address. A path that closes its
// connections, and a process that exits, close all at the same time; a server ends its responses one by one. So a response
// was cut if no connection is left that was open before its end, and one of those that were closed with it was
//
//   - unused, like the witness that is kept beside such responses, and not closed after the time after which the server
//     closes unused ones on its own,
//   - inside a response, and the server does not break off responses on its own, or
//   - behind another response, and cutTogether tells that the server did not end both in one step. Where many end, some end
//     together.
func (p *Pool) endedTogether(address string, own connEnd) bool {
	ends, survived := p.endsBeside(address, own)
	if survived {
		return false
	}
	var beside, earlier []connEnd
	for _, e := range ends {
		switch before := own.at.Sub(e.at); {
		case e.beside(own):
			beside = append(beside, e)
		case before > coincidence && before < endWindow:
			earlier = append(earlier, e)
		}
	}
	for _, e := range ofKind(beside, endsUnused) {
		if !p.closesUnused(address, e.unused, own.at.Add(-unusedCoincidence)) {
			return true
		}
	}
	if len(ofKind(beside, endsEarly)) > 0 && len(ofKind(earlier, endsEarly)) == 0 {
		return true
	}
	others := ofKind(beside, endsResponse)
	return len(others) > earlierEnds*len(ofKind(earlier, endsResponse)) && p.cutTogether(address, own, others)
}

// ofKind returns the ends of one kind.
func ofKind(ends []connEnd, k endKind) []connEnd {
	return slices.DeleteFunc(slices.Clone(ends), func(e connEnd) bool { return e.kind != k })
}

// cutTogether reports whether responses that ended together were cut. A server that runs streams in steps may end
// several in one, which then began together as a rule, and closes each right behind its last event.
func (p *Pool) cutTogether(address string, own connEnd, others []connEnd) bool {
	quiet, begunApart := own.quiet, false
	for _, end := range others {
		quiet = min(quiet, end.quiet)
		begunApart = begunApart || (end.lasted-own.lasted).Abs() > coincidence
	}
	if quiet >= minQuiet {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	return begunApart && h != nil && (!h.batches(own.at) || len(others) >= manyEnds)
}

// closesUnused reports whether the server at an address closed unused connections after that time before some moment:
// those that ended together with a response show nothing about each other.
func (p *Pool) closesUnused(address string, unused time.Duration, before time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	return h != nil && h.routine(unused, before)
}

// endsBeside returns how connections to an address ended, and whether one is left that was open before another one's
// end.
func (p *Pool) endsBeside(address string, own connEnd) (ends []connEnd, survived bool) {
	ends, open := p.connsTo(address)
	for _, c := range open {
		switch end, state := c.peerEnd(); {
		case state == tcp.PeerEndClosed:
			ends = append(ends, end)
		case state == tcp.PeerEndOpen && c.opened.Before(own.at.Add(-coincidence)):
			return nil, true
		}
	}
	return ends, false
}
