package daemon

import (
	"math/rand/v2"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/quarantine"
)

// newQuarantine returns the quarantine with the thresholds of the settings.
func (d *Front) newQuarantine() *quarantine.Quarantine {
	return &quarantine.Quarantine{
		ExitThreshold: d.Settings.QuarantineAfter, Duration: d.Settings.QuarantineFor, Stagger: rand.Float64(),
		OnUpdate: d.onSuspects, OnRecord: d.onSuspectRecord, OnQuarantine: d.onQuarantine, OnRelease: d.onRelease, OnTrial: d.onTrial,
	}
}

// onSuspects sends what this front observed of suspects to the other fronts.
func (d *Front) onSuspects(list []runworks.Suspect) {
	d.exchange.SendSuspects(list...)
}

// onSuspectRecord stores what is known of a suspect.
func (d *Front) onSuspectRecord(f runworks.Fingerprint) {
	d.suspects.Enqueue(f)
}

func (d *Front) onQuarantine(s runworks.Suspect, wait time.Duration) {
	servers := make([]string, 0, len(s.Exits))
	for _, e := range s.Exits {
		servers = append(servers, e.Server)
	}
	fields := append(suspectFields(&s), "servers", servers, "first_end", s.Exits[0].At, "for_ms", wait.Milliseconds())
	d.Logger.Warn(suspectKind(&s)+" quarantined", fields...)
}

func (d *Front) onRelease(s runworks.Suspect) {
	message := " is no longer a suspect"
	if len(s.Exits) > 0 {
		message = " no longer quarantined: another cause explains the exits"
	}
	d.Logger.Info(suspectKind(&s)+message, suspectFields(&s)...)
}

func (d *Front) onTrial(s runworks.Suspect) {
	d.Logger.Warn(suspectKind(&s)+" tried: one call is sent", suspectFields(&s)...)
}

// suspectKind names what a suspect is, in log messages.
func suspectKind(s *runworks.Suspect) string {
	if s.Fingerprint.IsPart() {
		return "prompt part"
	}
	return "request"
}

// suspectFields returns the log fields that identify a suspect.
func suspectFields(s *runworks.Suspect) []any {
	if s.Part == "" {
		return []any{"fingerprint", s.Fingerprint}
	}
	return []any{"fingerprint", s.Fingerprint, "prompt_part", s.Part}
}

// release ends the quarantine of a trait at all fronts and reports whether the trait was known.
func (d *Front) release(fingerprint string) bool {
	return d.quarantine.Release(time.Now(), runworks.Fingerprint(fingerprint))
}

// attributeExits attributes the exit of a backend server whose record changed or disappeared to the
// calls that it had disconnected.
func (d *Front) attributeExits(server *runworks.Instance) {
	for _, f := range d.quarantine.ServerRemoved(time.Now(), server.IncarnationID()) {
		d.Logger.Warn("backend server exited after it disconnected a call", "server", server.IncarnationID(), "service", server.Service, "fingerprint", f)
	}
}
