package entry

import (
	"context"

	"github.com/runworks/runworks/services/control"
)

// relayKeys brings the key records of an agent that stops to its heir.
func (e *Entry) relayKeys(ctx context.Context, hand *control.KeyHandover) control.KeyHandoverReply {
	var reply control.KeyHandoverReply
	heir := e.heirOf(hand.Service, hand.Server)
	if heir == nil {
		return reply
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := heir.conn.Call(ctx, control.MethodKeyHandover, hand, &reply); err != nil {
		return control.KeyHandoverReply{}
	}
	return reply
}

// heirOf gives the connection to the agent that is heir to another's keys.
func (e *Entry) heirOf(service, server string) *link {
	now := e.Config.InForce()
	if now == nil {
		return nil
	}
	heir := now.Heir(service, server)
	if heir == "" {
		return nil
	}
	return e.linkTo(heir)
}

// askHeir asks the heir of a key's home what the home knew of the key, before a
// planned stop. It can only tell what ran or never will.
func (k *keyed) askHeir(ctx context.Context, home string) (*control.KeyReply, bool) {
	heir := k.entry.heirOf(k.req.Service, home)
	if heir == nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply control.KeyReply
	if err := heir.conn.Call(ctx, control.MethodKeyLookup, k.message(0), &reply); err != nil {
		return nil, false
	}
	return &reply, reply.Verdict != control.KeyTooOld
}
