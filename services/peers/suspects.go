package peers

import (
	"encoding/json"

	"github.com/runworks/runworks"
)

// Suspects is the message with requests to which exits of backend servers were attributed.
type Suspects struct {
	// From is the name of the sending entry.
	From string             `json:"from"`
	List []runworks.Suspect `json:"list"`
}

// SendSuspects sends suspects to all connected entries immediately: until they know them, the
// request may terminate further servers.
func (x *Exchange) SendSuspects(list ...runworks.Suspect) {
	x.notifyAll(MethodSuspects, &Suspects{From: x.Self.Name, List: list})
}

// handleSuspects processes the suspects of another entry.
func (x *inbound) handleSuspects(params json.RawMessage) error {
	var s Suspects
	if err := x.decodeMessage(params, "suspects", &s); err != nil {
		return err
	}
	x.receiveSuspects(s.From, s.List)
	return nil
}

func (x *Exchange) receiveSuspects(from string, list []runworks.Suspect) {
	if x.OnSuspects != nil && len(list) > 0 {
		x.OnSuspects(from, list)
	}
}
