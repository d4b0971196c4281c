package daemon

import (
	"time"

	"github.com/runworks/runworks"
)

// onSuspect sends what this front observed of a suspect request to the other fronts, and stores it
// if record is set.
func (d *Front) onSuspect(s runworks.Suspect, record bool) {
	d.exchange.SendSuspects(s)
	if record {
		d.suspects.Enqueue(s.Fingerprint)
	}
}

func (d *Front) onQuarantine(s runworks.Suspect, wait time.Duration) {
	servers := make([]string, 0, len(s.Exits))
	for _, e := range s.Exits {
		servers = append(servers, e.Server)
	}
	d.Logger.Warn("request quarantined", "fingerprint", s.Fingerprint, "servers", servers, "first_end", s.Exits[0].At, "for_ms", wait.Milliseconds())
}

func (d *Front) onRelease(f runworks.Fingerprint) {
	d.Logger.Info("request is no longer a suspect", "fingerprint", f)
}

// release ends the quarantine of a request at all fronts and reports whether the request was known.
func (d *Front) release(fingerprint string) bool {
	return d.quarantine.Release(time.Now(), runworks.Fingerprint(fingerprint))
}

// attributeExits attributes the exit of a backend server whose record changed or disappeared to the
// requests of the calls that it had disconnected.
func (d *Front) attributeExits(server *runworks.Instance) {
	for _, f := range d.quarantine.ServerRemoved(time.Now(), server.IncarnationID()) {
		d.Logger.Warn("backend server exited after it disconnected a call", "server", server.IncarnationID(), "service", server.Service, "fingerprint", f)
	}
}
