package dispatch

import "time"

const (
	// unresponsiveTimeout is how long a server that has calls of this entry may give nothing at
	// all: many times the pause between two events, and the first event of a long
	// prompt is there by then.
	unresponsiveTimeout = time.Second
	// unresponsiveFactor is how many times the mean time to an answer's head a server
	// may be silent, where that is more.
	unresponsiveFactor = 4
	// responseWeight is the weight of the newest answer in the mean time to its head.
	responseWeight = 0.05
	// minErrors is how many calls in a row a server must have answered by a failure, at
	// all entries together, and failedFactor how many times as many as the others of
	// its service on average, before it is left out for failedSuspension: some calls
	// fail at every server.
	minErrors     = 5
	errorFactor   = 3
	errorEjection = time.Second
	// entriesPerEjection is for how many other entries one more of them has to leave a server
	// out before all do: a call or two broken by chance are met by some entry of a hundred
	// all the time, and what is really lost is met by several.
	entriesPerEjection = 50
)

// healthy says whether calls may be sent to a server as long as others can do the
// work. What other entries say of it counts until it was heard here.
func (s *service) healthy(now time.Time, one *server) bool {
	doubted := !one.peerEjectedSince.IsZero() && !one.lastReceived.After(one.peerEjectedSince)
	return !one.Draining && !doubted && !one.failing(now, s)
}

// failing says whether calls of this entry speak against a server.
func (s *server) failing(now time.Time, of *service) bool {
	return s.addressReused || now.Before(s.ejectedUntil) || s.unresponsive(now, of)
}

// unresponsive says whether a server gave nothing for so long that its calls are likely
// to be lost.
func (s *server) unresponsive(now time.Time, of *service) bool {
	if s.ownCalls == 0 {
		return false
	}
	last := s.busySince
	if s.lastReceived.After(last) {
		last = s.lastReceived
	}
	limit := unresponsiveTimeout
	if of != nil {
		limit = max(limit, time.Duration(unresponsiveFactor*float64(of.responseTime)*float64(time.Second)))
	}
	return now.Sub(last) > limit
}

// watchUnresponsiveLocked tells of servers that fell silent or were heard again.
func (d *Dispatcher) watchUnresponsiveLocked(now time.Time) {
	for _, one := range d.servers {
		silent := one.unresponsive(now, d.services[one.Service])
		if silent != one.wasUnresponsive && d.OnUnresponsive != nil {
			d.OnUnresponsive(one.Instance, silent)
		}
		one.wasUnresponsive = silent
	}
}

// notePeerEjectionsLocked keeps since when other entries leave a server out. After their word
// one more failure here is enough.
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

// ejectFailingLocked leaves out the servers of a service that answer by failures while the
// others do not.
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
		if one.ownErrors == 0 || failed < minErrors || failed*(n-1) < errorFactor*(sum-failed) || now.Before(one.ejectedUntil) {
			continue
		}
		one.ownErrors = 0
		one.ejectedUntil = now.Add(errorEjection)
		if d.OnEject != nil {
			d.OnEject(one.Instance, failed, errorEjection)
		}
	}
}

// RecordHeaders records that the head of the call's answer came.
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
