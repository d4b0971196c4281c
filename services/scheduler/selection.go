package scheduler

import (
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/peers"
)

// avoided names an entry that failed to schedule a service; an empty service means all.
type avoided struct {
	id      runworks.Incarnation
	service string
}

// schedulerOf returns the scheduler of a service, or why there is none but this entry.
func (c *Client) schedulerOf(now time.Time, service string) (*remote, fallback) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.viewedAt) >= viewAge {
		c.others = scope(c.Self, c.Transport.PeerStates())
		c.silence = silenceAfter(len(c.others))
		c.members = candidates(now, c.Self, c.Stopping(), c.others, c.silence)
		c.viewedAt, c.chosen = now, make(map[string]peers.Member)
	}
	one, ok := c.chosen[service]
	if !ok {
		one = choose(service, c.notAvoidedLocked(now, service))
		c.chosen[service] = one
		c.noteChoiceLocked(now, service, one)
	}
	switch {
	case one.Incarnation != c.Self.Incarnation && one.Incarnation != "":
		return c.remoteLocked(one.Incarnation), ""
	case len(c.members) <= 1:
		return nil, causeAlone
	}
	return nil, causeOwn
}

// notAvoidedLocked returns the candidates without those that failed recently.
func (c *Client) notAvoidedLocked(now time.Time, service string) []peers.Member {
	for key, until := range c.avoided {
		if !now.Before(until) {
			delete(c.avoided, key)
		}
	}
	if len(c.avoided) == 0 {
		return c.members
	}
	var out []peers.Member
	for _, one := range c.members {
		if !c.avoidsLocked(one.Incarnation, service) {
			out = append(out, one)
		}
	}
	return out
}

func (c *Client) avoidsLocked(id runworks.Incarnation, service string) bool {
	_, all := c.avoided[avoided{id: id}]
	_, one := c.avoided[avoided{id: id, service: service}]
	return all || one
}

// avoidLocked keeps an entry from being asked for avoidTime. The next call makes a new choice.
func (c *Client) avoidLocked(key avoided) {
	if c.avoided == nil {
		c.avoided = make(map[avoided]time.Time)
	}
	c.avoided[key] = time.Now().Add(avoidTime)
	c.viewedAt = time.Time{}
}

// noteChoiceLocked logs a change of a service's scheduler.
func (c *Client) noteChoiceLocked(now time.Time, service string, one peers.Member) {
	if c.current == nil {
		c.current = make(map[string]peers.Member)
	}
	old, known := c.current[service]
	if known && old.Incarnation == one.Incarnation {
		return
	}
	c.current[service] = one
	c.Logger.Info("scheduler changed", "service", service, "scheduler", one.Name, "incarnation", one.Incarnation,
		"cause", c.changeCauseLocked(now, service, old, known))
}

// changeCauseLocked returns why a service's scheduler is no longer the old one.
func (c *Client) changeCauseLocked(now time.Time, service string, old peers.Member, known bool) string {
	switch {
	case !known:
		return "first"
	case old.Incarnation == c.Self.Incarnation && c.Stopping():
		return "stopping"
	case old.Incarnation == c.Self.Incarnation || old.Incarnation == "":
		return "preferred"
	}
	for i := range c.others {
		if c.others[i].Incarnation != old.Incarnation {
			continue
		}
		if cause := unfit(now, &c.others[i], c.silence); cause != "" {
			return string(cause)
		}
		if c.avoidsLocked(old.Incarnation, service) {
			return "failed"
		}
		return "preferred"
	}
	return "gone"
}

// Schedulers returns the name of each service's scheduler, for operators.
func (c *Client) Schedulers() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]string, len(c.current))
	for service, one := range c.current {
		out[service] = one.Name
	}
	return out
}

// avoid keeps the scheduler from being asked for a time, for one service or for all, and returns the
// cause.
func (c *Client) avoid(r *remote, service string, cause fallback) fallback {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidLocked(avoided{id: r.id, service: service})
	return cause
}
