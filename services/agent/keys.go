package agent

import (
	"encoding/json"
	"time"

	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/services/control"
)

// handleKey handles the messages about idempotency keys.
func (l *link) handleKey(method string, params json.RawMessage) (any, error) {
	switch method {
	case control.MethodKeyClaim:
		var c control.KeyClaim
		if err := control.Decode(params, &c); err != nil {
			return nil, err
		}
		return l.agent.claimKey(l, &c), nil
	case control.MethodKeyBind:
		var b control.KeyBind
		if err := control.Decode(params, &b); err != nil {
			return nil, err
		}
		l.agent.mu.Lock()
		defer l.agent.mu.Unlock()
		return control.KeyBindReply{Bound: l.agent.keys.Bind(&b)}, nil
	case control.MethodKeyHandover:
		var handover control.KeyHandover
		if err := control.Decode(params, &handover); err != nil {
			return nil, err
		}
		return l.agent.importKeys(&handover), nil
	case control.MethodKeyLookup:
		var c control.KeyClaim
		if err := control.Decode(params, &c); err != nil {
			return nil, err
		}
		return l.agent.lookupImported(&c), nil
	}
	var e control.KeyRelease
	if err := control.Decode(params, &e); err != nil {
		return nil, err
	}
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	return control.KeyReleaseReply{Released: l.agent.keys.Release(time.Now(), &e)}, nil
}

// claimKey decides about a key if this agent is its owner by a configuration that is not older
// than the entry's.
func (a *Agent) claimKey(l *link, c *control.KeyClaim) control.KeyReply {
	snapshot := a.Config.Active()
	a.mu.Lock()
	defer a.mu.Unlock()
	reply := control.KeyReply{Verdict: control.KeyNotOwner}
	known := snapshot != nil && snapshot.Version >= c.Version && !l.replaced
	if known && !a.draining && snapshot.KeyOwner(c.Service, c.Customer, c.Key) == a.Server {
		elsewhere := func(since time.Time) bool { return a.ownedElsewhereLocked(c, since) }
		reply = a.keys.Claim(time.Now(), l.source, c, elsewhere)
	}
	metrics.Count(a.Metrics.Keys, metrics.Result(string(reply.Verdict)))
	return reply
}

// ownedElsewhereLocked reports whether a configuration that was active after since assigns the
// key to another owner.
func (a *Agent) ownedElsewhereLocked(c *control.KeyClaim, since time.Time) bool {
	for i := range a.configs {
		p := &a.configs[i]
		if !p.until.IsZero() && p.until.Before(since) {
			continue
		}
		if p.cfg.KeyOwner(c.Service, c.Customer, c.Key) != a.Server {
			return true
		}
	}
	return false
}
