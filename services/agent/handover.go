package agent

import (
	"context"
	"time"

	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/services/control"
)

const handOverTimeout = 2 * time.Second

// handOver sends the key records to the agent that is the successor of this one, through the
// first entry that can deliver them. From then on no key can be bound here.
func (a *Agent) handOver(ctx context.Context) {
	snapshot := a.Config.Active()
	if snapshot == nil || snapshot.Server(a.Server) == nil {
		return
	}
	a.mu.Lock()
	handover := control.KeyHandover{Service: snapshot.Server(a.Server).Service.Name, Server: a.Server, Records: a.keys.Export()}
	links := a.linksLocked()
	a.mu.Unlock()
	if len(handover.Records) == 0 {
		return
	}
	for _, l := range links {
		if l.handOver(ctx, &handover) {
			a.Logger.Info("key records handed over", "records", len(handover.Records), "by", l.name)
			return
		}
	}
	a.Logger.Warn("key records not handed over; retries with these keys will report an unknown outcome", "records", len(handover.Records))
}

func (l *link) handOver(ctx context.Context, handover *control.KeyHandover) bool {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	var reply control.KeyHandoverReply
	err := l.conn.Call(ctx, control.MethodKeyHandover, handover, &reply)
	return err == nil && reply.Accepted
}

// importKeys stores the key records of another key owner, unless the agent is draining.
func (a *Agent) importKeys(handover *control.KeyHandover) control.KeyHandoverReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return control.KeyHandoverReply{}
	}
	a.keys.Import(time.Now(), handover.Records)
	metrics.Add(a.Metrics.Keys, len(handover.Records), metrics.Result("taken-over"))
	return control.KeyHandoverReply{Accepted: true}
}

// lookupImported returns what another key owner recorded for a key.
func (a *Agent) lookupImported(c *control.KeyClaim) control.KeyReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.keys.LookupImported(time.Now(), c)
}
