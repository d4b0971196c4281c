package metrics

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// watchCounter exports a value as a counter.
func (s *Set) watchCounter(name, text string, value func() int64) error {
	_, err := s.meter.Int64ObservableCounter(name, metric.WithDescription(text), metric.WithInt64Callback(observe(value)))
	return err
}

// watchGauge exports a value as a gauge.
func (s *Set) watchGauge(name, text string, value func() int64, options ...metric.Int64ObservableGaugeOption) error {
	_, err := s.meter.Int64ObservableGauge(name, append(options, metric.WithDescription(text), metric.WithInt64Callback(observe(value)))...)
	return err
}

// observe returns a callback that reports a value.
func observe(value func() int64) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(value())
		return nil
	}
}

// WatchDroppedLines exports the value of dropped, the log lines dropped since the start, as a
// counter.
func (s *Set) WatchDroppedLines(dropped func() int64) error {
	return s.watchCounter("runworks.log_lines_dropped", "log lines dropped as there were too many", dropped)
}

// WatchKeptChanges exports the memory of the changes that are kept for other entries, in bytes, as a
// gauge.
func (s *Set) WatchKeptChanges(bytes func() int) error {
	return s.watchGauge("runworks.changes_kept", "changes of the store kept for other entries", func() int64 { return int64(bytes()) }, metric.WithUnit("By"))
}

// WatchQueuePasses exports the value of passes, the passes over queues with waiting calls since the start, as
// a counter.
func (s *Set) WatchQueuePasses(passes func() int64) error {
	return s.watchCounter("runworks.queue_passes", "passes over the queues of waiting calls", passes)
}

// WatchGrants exports the number of slots that this entry granted to others and that are in use, as a
// gauge.
func (s *Set) WatchGrants(held func() int) error {
	return s.watchGauge("runworks.grants", "slots granted to other entries", func() int64 { return int64(held()) })
}

// WatchSlowReaders exports the number of streams whose caller has not read for a second, and the
// memory in bytes that they hold, as gauges.
func (s *Set) WatchSlowReaders(count func() (streams, bytes int)) error {
	b := builder{meter: s.meter}
	streams := b.gauge("runworks.slow_readers", "streams whose caller has not read for a second")
	held := b.gauge("runworks.slow_readers_held", "memory of these streams", metric.WithUnit("By"))
	if b.err != nil {
		return b.err
	}
	_, err := s.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		n, bytes := count()
		o.ObserveInt64(streams, int64(n))
		o.ObserveInt64(held, int64(bytes))
		return nil
	}, streams, held)
	return err
}

// WatchHeldMemory exports the memory that is held for calls, in bytes, as a gauge.
func (s *Set) WatchHeldMemory(bytes func() int64) error {
	return s.watchGauge("runworks.calls_held", "request bodies, whole answers and long events held for calls", bytes, metric.WithUnit("By"))
}

// EntryCounts are numbers of other entries: known, connected to, heard recently, and those that refuse
// the fleet keys of this one.
type EntryCounts struct{ Known, Connected, Live, KeyRefused int }

// WatchEntries exports numbers of other entries as a gauge by state.
func (s *Set) WatchEntries(count func() EntryCounts) error {
	_, err := s.meter.Int64ObservableGauge("runworks.entries", metric.WithDescription("other entries by state"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			c := count()
			for state, n := range map[string]int{"known": c.Known, "connected": c.Connected, "live": c.Live, "key_refused": c.KeyRefused} {
				o.Observe(int64(n), metric.WithAttributes(attribute.String("state", state)))
			}
			return nil
		}))
	return err
}
