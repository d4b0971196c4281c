package entry

import (
	"context"

	"github.com/runworks/runworks/services/control"
)

// relayKeys forwards the key records of a stopping agent to its successor.
func (e *Entry) relayKeys(ctx context.Context, hand *control.KeyHandover) control.KeyHandoverReply {
	var reply control.KeyHandoverReply
	successor := e.successorOf(hand.Service, hand.Server)
	if successor == nil {
		return reply
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := successor.conn.Call(ctx, control.MethodKeyHandover, hand, &reply); err != nil {
		return control.KeyHandoverReply{}
	}
	return reply
}

// successorOf returns the connection to the agent that inherits the keys of server;
// nil if there is none.
func (e *Entry) successorOf(service, server string) *link {
	snap := e.Config.Active()
	if snap == nil {
		return nil
	}
	successor := snap.Successor(service, server)
	if successor == "" {
		return nil
	}
	return e.linkTo(successor)
}

// lookUpAtSuccessor looks the key up in the records that its owner handed over to
// its successor at a planned stop. They cover only requests that ran or never will.
func (k *keyed) lookUpAtSuccessor(ctx context.Context, owner string) (*control.KeyReply, bool) {
	successor := k.entry.successorOf(k.req.Service, owner)
	if successor == nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply control.KeyReply
	if err := successor.conn.Call(ctx, control.MethodKeyLookup, k.message(0), &reply); err != nil {
		return nil, false
	}
	return &reply, reply.Verdict != control.KeyTooOld
}
