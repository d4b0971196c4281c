package forward

import (
	"math"
	"time"

	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/services/dispatch"
)

// firstEvent is the time from the send of a call to the first event of its last server, as it was
// forecast and as it was. A forecast of 0 is unknown.
type firstEvent struct {
	arrived         bool
	forecast, after time.Duration
}

// recordFirstEvent records that the first event of a server arrived.
func (c *call) recordFirstEvent(now time.Time, lease *dispatch.Lease) {
	lease.RecordFirstEvent(c.in.PromptTokens)
	c.firstEvent = firstEvent{arrived: true, forecast: lease.Forecast(), after: now.Sub(c.sent)}
	if c.firstEvent.forecast > 0 {
		off := math.Abs((c.firstEvent.after - c.firstEvent.forecast).Seconds())
		metrics.Observe(c.f.Metrics.ForecastError, off, metrics.Rank(c.rank))
	}
}

// logFields returns the fields of the log line at the end of a call.
func (e firstEvent) logFields() []any {
	var fields []any
	if e.arrived {
		fields = append(fields, "first_event_ms", e.after.Milliseconds())
	}
	if e.forecast > 0 {
		fields = append(fields, "forecast_ms", e.forecast.Milliseconds())
	}
	return fields
}
