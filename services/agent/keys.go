package agent

import (
	"encoding/json"
	"time"

	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/services/control"
)

// key answers the messages about idempotency keys.
func (l *link) key(method string, params json.RawMessage) (any, error) {
	switch method {
	case control.MethodKeyClaim:
		var c control.KeyClaim
		if err := control.Decode(params, &c); err != nil {
			return nil, err
		}
		return l.agent.keyClaim(l, &c), nil
	case control.MethodKeyBind:
		var b control.KeyBind
		if err := control.Decode(params, &b); err != nil {
			return nil, err
		}
		l.agent.mu.Lock()
		defer l.agent.mu.Unlock()
		return control.KeyBindReply{Bound: l.agent.keys.Bind(&b)}, nil
	case control.MethodKeyHandover:
		var hand control.KeyHandover
		if err := control.Decode(params, &hand); err != nil {
			return nil, err
		}
		return l.agent.take(&hand), nil
	case control.MethodKeyLookup:
		var c control.KeyClaim
		if err := control.Decode(params, &c); err != nil {
			return nil, err
		}
		return l.agent.look(&c), nil
	}
	var e control.KeyRelease
	if err := control.Decode(params, &e); err != nil {
		return nil, err
	}
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	return control.KeyReleaseReply{Released: l.agent.keys.End(&e)}, nil
}

// keyClaim decides about a key, if this agent is its home by a configuration
// that is not older than the entry's.
func (a *Agent) keyClaim(l *link, c *control.KeyClaim) control.KeyReply {
	now := a.Config.Active()
	a.mu.Lock()
	defer a.mu.Unlock()
	reply := control.KeyReply{Verdict: control.KeyNotOwner}
	known := now != nil && now.Version >= c.Version
	if known && !a.leaving && now.KeyOwner(c.Service, c.Customer, c.Key) == a.Server {
		elsewhere := func(since time.Time) bool { return a.elsewhereLocked(c, since) }
		reply = a.keys.Claim(time.Now(), l.source, c, elsewhere)
	}
	metrics.Count(a.Metrics.Keys, metrics.Result(string(reply.Verdict)))
	return reply
}

// elsewhereLocked says whether a configuration in force after since gave the
// key another home.
func (a *Agent) elsewhereLocked(c *control.KeyClaim, since time.Time) bool {
	for i := range a.past {
		p := &a.past[i]
		if !p.until.IsZero() && p.until.Before(since) {
			continue
		}
		if p.cfg.KeyOwner(c.Service, c.Customer, c.Key) != a.Server {
			return true
		}
	}
	return false
}
