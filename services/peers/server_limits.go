package peers

import (
	"encoding/json"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
)

// ServerLimits tells of the limits that backend servers name.
type ServerLimits struct {
	// From names the entry that tells.
	From string                 `json:"from"`
	List []runworks.ServerLimit `json:"list"`
}

// TellServerLimits tells all entries that are connected at once: until they know a limit they
// send as before.
func (x *Exchange) TellServerLimits(list ...runworks.ServerLimit) {
	x.notifyAll(MethodServerLimits, &ServerLimits{From: x.Self.Name, List: list})
}

// takeServerLimits takes what another entry told.
func (x *hearing) takeServerLimits(params json.RawMessage) error {
	var s ServerLimits
	if err := json.Unmarshal(params, &s); err != nil {
		x.Logger.Warn("limits of backend servers can't be read", "error", err.Error())
		return errorx.Decorate(err, "decode the servers' limits")
	}
	x.hearServerLimits(s.From, s.List)
	return nil
}

func (x *Exchange) hearServerLimits(from string, list []runworks.ServerLimit) {
	if x.OnServerLimits != nil && len(list) > 0 {
		x.OnServerLimits(from, list)
	}
}
