package peers

import (
	"encoding/json"

	"github.com/runworks/runworks/modules/rpc"
	"github.com/runworks/runworks/services/enginemodel"
)

// MethodEngineModels is the notification that carries an enginemodel.Digest. Versions that do not
// know it ignore it.
const MethodEngineModels = "entry.engine_models"

// EngineModels are the callbacks for what entries learned of engines. They may be nil.
type EngineModels struct {
	// All returns what this entry learned of all engines, which is sent after a handshake.
	All func() []enginemodel.Estimate
	// OnReceive is called with what another entry learned, that entry's name, and the number of
	// estimates that were removed because they are implausible.
	OnReceive func(from string, list []enginemodel.Estimate, rejected int)
}

// SendEngineModels sends what this entry learned to all connected entries of the scope: the local ones,
// which are all unless there are more than runworks.ManyEntriesThreshold.
func (x *Exchange) SendEngineModels(list []enginemodel.Estimate) {
	if len(list) == 0 {
		return
	}
	local, _ := x.conns()
	for _, conn := range local {
		x.work.Go(func() { x.notify(conn, MethodEngineModels, enginemodel.Digest{From: x.Self.Name, List: list}) })
	}
}

// sendAllEngineModels sends what this entry learned to an entry that may know nothing.
func (x *Exchange) sendAllEngineModels(l *link, conn *rpc.Conn) {
	x.mu.Lock()
	local := x.isLocalLocked(l.member.Hall)
	x.mu.Unlock()
	if x.EngineModels.All == nil || !local {
		return
	}
	if list := x.EngineModels.All(); len(list) > 0 {
		x.work.Go(func() { x.notify(conn, MethodEngineModels, enginemodel.Digest{From: x.Self.Name, List: list}) })
	}
}

// handleEngineModels processes what another entry learned of engines.
func (x *inbound) handleEngineModels(params json.RawMessage) error {
	d, rejected, err := enginemodel.DecodeDigest(params)
	if err != nil {
		x.Logger.Warn("engine models could not be decoded", "error", err.Error())
		return err
	}
	if x.EngineModels.OnReceive != nil {
		x.EngineModels.OnReceive(d.From, d.List, rejected)
	}
	return nil
}
