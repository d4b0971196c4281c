package agent

import (
	"context"
	"time"

	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/services/control"
)

const handOverTimeout = 2 * time.Second

// handOver gives the key records to the agent that is heir to this one, through
// the first entry that gets them there. From then on no key is bound here.
func (a *Agent) handOver(ctx context.Context) {
	now := a.Config.Active()
	if now == nil || now.Server(a.Server) == nil {
		return
	}
	a.mu.Lock()
	hand := control.KeyHandover{Service: now.Server(a.Server).Service.Name, Server: a.Server, Records: a.keys.Export()}
	links := a.linksLocked()
	a.mu.Unlock()
	if len(hand.Records) == 0 {
		return
	}
	for _, l := range links {
		if l.handOver(ctx, &hand) {
			a.Logger.Info("keys handed over", "records", len(hand.Records), "by", l.name)
			return
		}
	}
	a.Logger.Warn("keys not handed over: their calls will be told unknown", "records", len(hand.Records))
}

func (l *link) handOver(ctx context.Context, hand *control.KeyHandover) bool {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	var reply control.KeyHandoverReply
	err := l.conn.Call(ctx, control.MethodKeyHandover, hand, &reply)
	return err == nil && reply.Accepted
}

// take keeps the records of another home.
func (a *Agent) take(hand *control.KeyHandover) control.KeyHandoverReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return control.KeyHandoverReply{}
	}
	a.keys.Import(time.Now(), hand.Records)
	metrics.Add(a.Metrics.Keys, len(hand.Records), metrics.Result("taken-over"))
	return control.KeyHandoverReply{Accepted: true}
}

// look tells what another home knew of a key.
func (a *Agent) look(c *control.KeyClaim) control.KeyReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.keys.LookupImported(time.Now(), c)
}
