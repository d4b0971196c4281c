package dispatch

import "time"

const (
	// unresponsiveTimeout is how long a server with calls of this entry may send nothing before
	// it is ejected. It is many times the pause between two events, and long enough for the
	// first event of a long prompt.
	unresponsiveTimeout = time.Second
	// unresponsiveFactor times the mean time to the response headers replaces
	// unresponsiveTimeout where it is longer.
	unresponsiveFactor = 4
	// responseWeight is the weight of the newest response in the mean time to its headers.
	responseWeight = 0.05
	// A server is ejected for errorEjection after minErrors calls in a row that it answered with
	// an error, counted over all entries, if that is errorFactor times as many as the other
	// servers of its service have on average: some calls fail at every server.
	minErrors     = 5
	errorFactor   = 3
	errorEjection = time.Second
	// entriesPerEjection is the number of other entries for which one more of them has to eject
	// a server before all do. Among a hundred entries some always see one or two calls fail by
	// chance, while an outage of a server is seen by several.
	entriesPerEjection = 50
)

// healthy reports whether calls should be sent to a server while other servers have capacity.
// An ejection by other entries counts until this entry receives data from the server again.
func (s *service) healthy(now time.Time, one *server) bool {
	ejected := !one.peerEjectedSince.IsZero() && !one.lastReceived.After(one.peerEjectedSince)
	return !one.Draining && !ejected && !one.failing(now, s)
}

// failing reports whether a server is ejected because of calls of this entry.
func (s *server) failing(now time.Time, svc *service) bool {
	return s.addressReused || now.Before(s.ejectedUntil) || s.unresponsive(now, svc)
}

// unresponsive reports whether a server with calls of this entry has sent nothing for so long
// that the calls are probably lost.
func (s *server) unresponsive(now time.Time, svc *service) bool {
	if s.ownCalls == 0 {
		return false
	}
	last := s.busySince
	if s.lastReceived.After(last) {
		last = s.lastReceived
	}
	limit := unresponsiveTimeout
	if svc != nil {
		limit = max(limit, time.Duration(unresponsiveFactor*float64(svc.responseTime)*float64(time.Second)))
	}
	return now.Sub(last) > limit
}

// watchUnresponsiveLocked calls OnUnresponsive for servers that became unresponsive or responsive
// again.
func (d *Dispatcher) watchUnresponsiveLocked(now time.Time) {
	for _, one := range d.servers {
		unresponsive := one.unresponsive(now, d.services[one.Service])
		if unresponsive != one.wasUnresponsive && d.OnUnresponsive != nil {
			d.OnUnresponsive(one.Instance, unresponsive)
		}
		one.wasUnresponsive = unresponsive
	}
}

// notePeerEjectionsLocked records since when enough other entries eject a server. While they do,
// one more failed call here ejects it.
func (d *Dispatcher) notePeerEjectionsLocked(now time.Time, s *server) {
	before := s.peerEjectedSince
	switch {
	case s.peerEjections <= len(d.peers)/entriesPerEjection:
		s.peerEjectedSince = time.Time{}
	case s.peerEjectedSince.IsZero():
		s.peerEjectedSince = now
		s.unanswered = max(s.unanswered, failuresToEject-1)
	}
	if s.peerEjectedSince != before && d.OnPeerEject != nil {
		d.OnPeerEject(s.Instance, s.peerEjections)
	}
}

// ejectFailingLocked ejects the servers of a service that answer with errors while the others do
// not.
func (d *Dispatcher) ejectFailingLocked(now time.Time, s *service) {
	sum, n := 0, 0
	for _, one := range s.servers {
		if !one.Draining {
			sum += one.ownErrors + one.peerErrors
			n++
		}
	}
	for _, one := range s.servers {
		failed := one.ownErrors + one.peerErrors
		if one.ownErrors == 0 || failed < minErrors || failed*(n-1) < errorFactor*(sum-failed) ||
			now.Before(one.ejectedUntil) {
			continue
		}
		one.ownErrors = 0
		one.ejectedUntil = now.Add(errorEjection)
		if d.OnEject != nil {
			d.OnEject(one.Instance, failed, errorEjection)
		}
	}
}

// RecordHeaders records that the headers of the call's response arrived.
func (l *Lease) RecordHeaders() {
	d := l.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	l.server.lastReceived = now
	if s := d.services[l.service]; s != nil {
		s.responseTime.add(now.Sub(l.began).Seconds(), responseWeight)
	}
}
