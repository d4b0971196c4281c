package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
)

// attributionWindow is the time after its first event within which a broken response may be
// attributed to its request. A request that makes servers exit does so as it begins to run; one
// that has run for seconds only shared the server with it.
const attributionWindow = 500 * time.Millisecond

// maxLoggedParts bounds the parts of a prompt that a log line names; usual prompts have two or three.
const maxLoggedParts = 16

// quarantinedFor returns for how much longer the call is quarantined; 0 if it is not. The traits are not
// computed while there are no suspects.
func (c *call) quarantinedFor(now time.Time) time.Duration {
	if c.f.Quarantine.Empty() {
		return 0
	}
	return c.f.Quarantine.HeldFor(now, c.traits())
}

// beginSend reports whether the call may be sent: it is not quarantined, or it is the one by which a
// quarantined prompt part is tried.
func (c *call) beginSend(now time.Time) bool {
	return c.f.Quarantine.Empty() || c.f.Quarantine.BeginSend(now, c.traits()) == 0
}

// recordAnswer clears the call's traits of earlier exits after a complete response, or once a stream
// has run for so long that its server's exit would not be attributed to it. A server that answers with an
// error may not have read the prompt, so that clears the request alone.
func (c *call) recordAnswer(status int) {
	traits := c.traits()
	if status >= http.StatusMultipleChoices {
		traits = traits[:1]
	}
	c.f.Quarantine.RecordAnswer(time.Now(), traits)
}

// recordInterruption watches for the exit of the server whose response broke off for a cause, and attributes an exit
// to the call if it had only begun to run. first is the time of the server's first event; zero if none
// came.
func (c *call) recordInterruption(ctx context.Context, server runworks.Instance, first time.Time, cause error) {
	if ctx.Err() != nil {
		return // the caller or the deadline ended it
	}
	fresh := first.IsZero() || time.Since(first) < attributionWindow
	exit := &serverExit{call: c, server: server, events: c.events, fresh: fresh, traits: c.traits(), at: time.Now()}
	if errors.Is(context.Cause(c.attemptCtx), errServerRestarted) {
		exit.record()
		return
	}
	if fresh && !errors.Is(cause, errUnproven) { // the server may have ended a whole response
		c.f.Quarantine.RecordDisconnect(exit.at, exit.traits, server.IncarnationID())
	}
	c.f.Sender.WatchExit(ctx, server, exit.record)
}

// serverExit is a backend server's exit during a call, with the call's state when the response
// broke off.
type serverExit struct {
	call   *call
	server runworks.Instance
	events int
	fresh  bool
	traits []runworks.Trait
	// at is when the response broke off.
	at time.Time
}

// record counts and logs the exit and attributes it to the call if that had only begun to run.
func (e *serverExit) record() {
	c := e.call
	metrics.Count(c.f.Metrics.ServerExits, metrics.Rank(c.rank))
	c.f.Logger.Warn("backend server exited during a call", "server", e.server.IncarnationID(), "service", c.service, "request", c.in.ID,
		"fingerprint", e.traits[0].Fingerprint, "customer", c.customerName(), "events", e.events, "fresh", e.fresh, "prompt_parts", loggedParts(c.in.SharedParts()))
	if e.fresh {
		c.f.Quarantine.AttributeExit(time.Now(), e.at, e.traits, e.server.IncarnationID())
	}
}

// loggedParts returns the parts of a prompt that a log line names.
func loggedParts(parts []string) []string { return parts[:min(len(parts), maxLoggedParts)] }

// traits returns the call's traits. They are computed on first use.
func (c *call) traits() []runworks.Trait {
	if c.cachedTraits == nil {
		c.cachedTraits = c.in.Traits(c.customerName())
	}
	return c.cachedTraits
}

// customerName returns the customer's name; empty if the customer is unknown.
func (c *call) customerName() string {
	if c.customer == nil {
		return ""
	}
	return c.customer.Name
}
