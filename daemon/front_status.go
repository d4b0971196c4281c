package daemon

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/services/dispatch"
	"github.com/runworks/runworks/services/quarantine"
	"github.com/runworks/runworks/services/rollout"
)

// FrontStatus is the status that a front reports to operators.
type FrontStatus struct {
	RoutingVersion int64 `json:"routing_version"`
	// Fronts counts the fronts that were heard recently, with this one, and FrontsKnown also those
	// that are only listed. FrontsConnected counts those to which a connection is open, without this
	// one, and FrontsKeyRefused those that refuse this front's fleet keys.
	Fronts           int                     `json:"fronts"`
	FrontsKnown      int                     `json:"fronts_known"`
	FrontsConnected  int                     `json:"fronts_connected"`
	FrontsKeyRefused int                     `json:"fronts_key_refused,omitempty"`
	Servers          []dispatch.ServerStatus `json:"servers"`
	Waiting          map[string]int          `json:"waiting"`
	// Schedulers are the names of the fronts that schedule services, as this front last chose them.
	Schedulers map[string]string `json:"schedulers,omitempty"`
	// SuspendedHalls are the halls that the operators suspended, and when this front learned of it.
	SuspendedHalls map[string]time.Time `json:"suspended_halls,omitempty"`
	// LimitsUsed is the usage of each customer's limit in the current window, in tokens, as this
	// front counts it. Fronts that are connected agree on it.
	LimitsUsed map[string]float64 `json:"limits_used"`
	// Suspects are the requests with attributed server exits, and whether they are quarantined.
	Suspects []quarantine.Report `json:"suspects"`
	// StreamOrigins is the number of streams whose service and version this front knows.
	StreamOrigins int `json:"stream_origins"`
	// Rollouts are the operators' orders to roll out a version.
	Rollouts []rollout.Status `json:"rollouts,omitempty"`
}

func (d *Front) status() FrontStatus {
	reach := d.exchange.Reach()
	out := FrontStatus{Fronts: reach.Live + 1, FrontsKnown: reach.Known + 1, FrontsConnected: reach.Connected, FrontsKeyRefused: reach.KeyRefused, Servers: d.dispatcher.ServerStatuses(), Waiting: d.dispatcher.WaitingCalls(), LimitsUsed: d.quota.Consumed(time.Now())}
	out.Schedulers = d.slotClient.Schedulers()
	out.SuspendedHalls = d.suspendedHalls()
	out.Rollouts = d.rollouts.Statuses(time.Now())
	out.StreamOrigins = d.forwarder.Origins.Len()
	out.Suspects = d.quarantine.Reports(time.Now())
	if table := d.forwarder.Table.Load(); table != nil {
		out.RoutingVersion = table.Routing.Version
	}
	return out
}

// watchState exports the state that no event counts as metrics.
func (d *Front) watchState() error {
	err := d.metrics.WatchEntries(func() metrics.EntryCounts {
		r := d.exchange.Reach()
		return metrics.EntryCounts{Known: r.Known, Connected: r.Connected, Live: r.Live, KeyRefused: r.KeyRefused}
	})
	if err != nil {
		return errorx.Decorate(err, "count the other entries")
	}
	if err := d.metrics.WatchQueuePasses(d.dispatcher.QueuePasses); err != nil {
		return errorx.Decorate(err, "count the passes over the queues")
	}
	if err := d.metrics.WatchGrants(d.slotServer.Held); err != nil {
		return errorx.Decorate(err, "count the granted slots")
	}
	err = d.metrics.WatchKeptChanges(func() int {
		sum := 0
		for _, w := range d.watches {
			sum += w.RecentBytes()
		}
		return sum
	})
	if err != nil {
		return errorx.Decorate(err, "measure the kept changes")
	}
	if err := d.metrics.WatchSlowReaders(d.forwarder.SlowReaders); err != nil {
		return errorx.Decorate(err, "count the slow readers")
	}
	if err := d.metrics.WatchHeldMemory(d.forwarder.Memory.Held); err != nil {
		return errorx.Decorate(err, "measure the memory held for calls")
	}
	return nil
}
