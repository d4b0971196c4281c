package dispatch

import "time"

// ColdStart describes how the backend servers of a service behave after their start. The zero value
// means that they are as fast as later.
type ColdStart struct {
	// Duration is how long a server is slow.
	Duration time.Duration
	// PerSecond limits the calls of all entries to a server in that time; 0 is no limit.
	PerSecond float64
}

// coldStart returns the cold start of a service's servers.
func (d *Dispatcher) coldStart(service string) ColdStart {
	if d.ColdStart == nil {
		return ColdStart{}
	}
	return d.ColdStart(service)
}

// limitColdStartLocked limits the calls to a server as long as it is slow: as it states itself and,
// where it started or its hall was resumed while this entry ran, for the duration of a cold start,
// as its record may be older.
func (d *Dispatcher) limitColdStartLocked(now time.Time, s *server, started bool) {
	c := d.coldStart(s.Service)
	until := s.ColdUntil
	if at := now.Add(c.Duration); started && at.After(until) {
		until = at
	}
	if c.PerSecond > 0 && s.limit.SetColdStart(now, until, c.PerSecond) {
		d.shareLimitLocked(now, s)
	}
}
