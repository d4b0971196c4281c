package daemon

import (
	"time"

	"github.com/runworks/runworks/services/dispatch"
	"github.com/runworks/runworks/services/quarantine"
)

// FrontStatus is the status that a front reports to operators.
type FrontStatus struct {
	RoutingVersion int64                   `json:"routing_version"`
	Fronts         int                     `json:"fronts"`
	Servers        []dispatch.ServerStatus `json:"servers"`
	Waiting        map[string]int          `json:"waiting"`
	// LimitsUsed is the usage of each customer's limit in the current window, in tokens, as this
	// front counts it. Fronts that are connected agree on it.
	LimitsUsed map[string]float64 `json:"limits_used"`
	// Suspects are the requests with attributed server exits, and whether they are quarantined.
	Suspects []quarantine.Report `json:"suspects"`
}

func (d *Front) status() FrontStatus {
	out := FrontStatus{Fronts: d.exchange.LiveCount() + 1, Servers: d.dispatcher.ServerStatuses(), Waiting: d.dispatcher.WaitingCalls(), LimitsUsed: d.quota.Consumed(time.Now())}
	out.Suspects = d.quarantine.Reports(time.Now())
	if table := d.forwarder.Table.Load(); table != nil {
		out.RoutingVersion = table.Routing.Version
	}
	return out
}
