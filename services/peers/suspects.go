package peers

import (
	"encoding/json"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
)

// Suspects tells of requests under which backend servers ended.
type Suspects struct {
	// From names the entry that tells.
	From string             `json:"from"`
	List []runworks.Suspect `json:"list"`
}

// SendSuspects tells all entries that are connected at once: each server that the request
// meets before they know it ends as well.
func (x *Exchange) SendSuspects(list ...runworks.Suspect) {
	x.notifyAll(MethodSuspects, &Suspects{From: x.Self.Name, List: list})
}

// takeSuspects takes what another entry told.
func (x *hearing) takeSuspects(params json.RawMessage) error {
	var s Suspects
	if err := json.Unmarshal(params, &s); err != nil {
		x.Logger.Warn("suspects of an entry can't be read", "error", err.Error())
		return errorx.Decorate(err, "decode the suspects")
	}
	x.hearSuspects(s.From, s.List)
	return nil
}

func (x *Exchange) hearSuspects(from string, list []runworks.Suspect) {
	if x.OnSuspects != nil && len(list) > 0 {
		x.OnSuspects(from, list)
	}
}
