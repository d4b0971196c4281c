package dispatch

import "time"

const (
	// silence is how long a server that has calls of this entry may give nothing at
	// all: many times the pause between two events, and the first event of a long
	// prompt is there by then.
	silence = time.Second
	// silentResponses is how many times the mean time to an answer's head a server
	// may be silent, where that is more.
	silentResponses = 4
	// responseWeight is the weight of the newest answer in the mean time to its head.
	responseWeight = 0.05
	// minFailed is how many calls in a row a server must have answered by a failure, at
	// all entries together, and failedFactor how many times as many as the others of
	// its service on average, before it is left out for failedSuspension: some calls
	// fail at every server.
	minFailed        = 5
	failedFactor     = 3
	failedSuspension = time.Second
	// entriesPerDoubt is for how many other entries one more of them has to leave a server
	// out before all do: a call or two broken by chance are met by some entry of a hundred
	// all the time, and what is really lost is met by several.
	entriesPerDoubt = 50
)

// healthy says whether calls may be sent to a server as long as others can do the
// work. What other entries say of it counts until it was heard here.
func (s *service) healthy(now time.Time, one *server) bool {
	doubted := !one.doubted.IsZero() && !one.heard.After(one.doubted)
	return !one.Draining && !doubted && !one.failing(now, s)
}

// failing says whether calls of this entry speak against a server.
func (s *server) failing(now time.Time, of *service) bool {
	return s.moved || now.Before(s.suspended) || s.silent(now, of)
}

// silent says whether a server gave nothing for so long that its calls are likely
// to be lost.
func (s *server) silent(now time.Time, of *service) bool {
	if s.own == 0 {
		return false
	}
	last := s.busy
	if s.heard.After(last) {
		last = s.heard
	}
	limit := silence
	if of != nil {
		limit = max(limit, time.Duration(silentResponses*float64(of.responseTime)*float64(time.Second)))
	}
	return now.Sub(last) > limit
}

// watchSilenceLocked tells of servers that fell silent or were heard again.
func (d *Dispatcher) watchSilenceLocked(now time.Time) {
	for _, one := range d.servers {
		silent := one.silent(now, d.services[one.Service])
		if silent != one.wasSilent && d.OnUnresponsive != nil {
			d.OnUnresponsive(one.Instance, silent)
		}
		one.wasSilent = silent
	}
}

// noteDoubtsLocked keeps since when other entries leave a server out. After their word
// one more failure here is enough.
func (d *Dispatcher) noteDoubtsLocked(now time.Time, s *server) {
	before := s.doubted
	switch {
	case s.doubts <= len(d.peers)/entriesPerDoubt:
		s.doubted = time.Time{}
	case s.doubted.IsZero():
		s.doubted = now
		s.failures = max(s.failures, failuresToSuspend-1)
	}
	if s.doubted != before && d.OnPeerEject != nil {
		d.OnPeerEject(s.Instance, s.doubts)
	}
}

// judgeLocked leaves out the servers of a service that answer by failures while the
// others do not.
func (d *Dispatcher) judgeLocked(now time.Time, s *service) {
	sum, n := 0, 0
	for _, one := range s.servers {
		if !one.Draining {
			sum += one.failed + one.othersFailed
			n++
		}
	}
	for _, one := range s.servers {
		failed := one.failed + one.othersFailed
		if one.failed == 0 || failed < minFailed || failed*(n-1) < failedFactor*(sum-failed) || now.Before(one.suspended) {
			continue
		}
		one.failed = 0
		one.suspended = now.Add(failedSuspension)
		if d.OnEject != nil {
			d.OnEject(one.Instance, failed, failedSuspension)
		}
	}
}

// RecordHeaders records that the head of the call's answer came.
func (l *Lease) RecordHeaders() {
	d := l.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	l.server.heard = now
	if s := d.services[l.service]; s != nil {
		s.responseTime.add(now.Sub(l.began).Seconds(), responseWeight)
	}
}
