package daemon

import (
	"time"

	"github.com/runworks/runworks"
)

// onSuspect tells the other fronts what this one saw of a request, and puts it on record if
// it is worth that.
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
	d.Logger.Warn("request held in quarantine", "fingerprint", s.Fingerprint, "servers", servers, "first_end", s.Exits[0].At, "for_ms", wait.Milliseconds())
}

func (d *Front) onRelease(f runworks.Fingerprint) {
	d.Logger.Info("request is no suspect any more", "fingerprint", f)
}

// release lets a request go to the servers again, at all fronts; it says whether it was known.
func (d *Front) release(fingerprint string) bool {
	return d.quarantine.Release(time.Now(), runworks.Fingerprint(fingerprint))
}

// attributeExits puts the end of a backend server, which its record tells, on the calls that it
// had broken off.
func (d *Front) attributeExits(server *runworks.Instance) {
	for _, f := range d.quarantine.ServerRemoved(time.Now(), server.IncarnationID()) {
		d.Logger.Warn("backend server gone that had broken a call off", "server", server.IncarnationID(), "service", server.Service, "fingerprint", f)
	}
}
