package daemon

import (
	"context"
	"time"

	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/modules/pause"
	"github.com/runworks/runworks/services/enginemodel"
	"github.com/runworks/runworks/services/peers"
)

// engineModelsInterval is the time between messages with what this front learned of engines.
const engineModelsInterval = time.Second

// engineModels returns the callbacks for what fronts learned of engines.
func (d *Front) engineModels() peers.EngineModels {
	return peers.EngineModels{All: d.dispatcher.EngineEstimates, OnReceive: d.onEngineModels}
}

// shareEngineModels sends what this front learned of engines, if it changed, until ctx ends.
func (d *Front) shareEngineModels(ctx context.Context) {
	for ctx.Err() == nil {
		d.exchange.SendEngineModels(d.dispatcher.ChangedEngineEstimates())
		pause.For(ctx, engineModelsInterval)
	}
}

// onEngineModels applies what another front learned of engines.
func (d *Front) onEngineModels(from string, list []enginemodel.Estimate, rejected int) {
	if rejected > 0 {
		metrics.Add(d.metrics.ModelsRejected, rejected)
		d.Logger.Warn("implausible engine models ignored", "from", from, "rejected", rejected, "kept", len(list))
	}
	d.dispatcher.ApplyEngineEstimates(list)
}
