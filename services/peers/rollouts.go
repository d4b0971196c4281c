package peers

import (
	"encoding/json"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/rollout"
)

// RolloutReports is the message with what an entry used and saw of the roll-outs.
type RolloutReports struct {
	From runworks.Incarnation `json:"from"`
	List []rollout.Report     `json:"list"`
}

// SendRollouts sends reports to all connected entries. They hold totals, so that one that gets lost is
// made up for by the next.
func (x *Exchange) SendRollouts(list []rollout.Report) {
	x.notifyAll(MethodRollouts, &RolloutReports{From: x.Self.Incarnation, List: list})
}

// handleRollouts processes the reports of another entry.
func (x *inbound) handleRollouts(params json.RawMessage) error {
	var m RolloutReports
	if err := x.decodeMessage(params, "reports of roll-outs", &m); err != nil {
		return err
	}
	if x.OnRollouts != nil && m.From != "" {
		x.OnRollouts(m.From, m.List)
	}
	return nil
}
