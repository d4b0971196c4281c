package dispatch

import "github.com/runworks/runworks"

// NoteLimit records what the call's server says of the requests that it takes.
func (l *Lease) NoteLimit(limit runworks.RateLimit) {
	d := l.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.server.limit == limit {
		return
	}
	l.server.limit = limit
	if d.OnLimit != nil {
		d.OnLimit(l.Instance, limit)
	}
}
