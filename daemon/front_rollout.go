package daemon

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/modules/pause"
	"github.com/runworks/runworks/platform"
	"github.com/runworks/runworks/services/dispatch"
	"github.com/runworks/runworks/services/rollout"
)

const (
	// rolloutInterval is the time between two decisions while a roll-out is ordered.
	rolloutInterval = 100 * time.Millisecond
	// rolloutRetryDelay is the wait after the store failed to answer about a roll-out.
	rolloutRetryDelay = 300 * time.Millisecond
)

func (d *Front) newRollouts(self runworks.Incarnation) *rollout.Rollouts {
	return &rollout.Rollouts{
		Self: self, ExposureShare: d.Settings.ExposureShare, ExposureSlack: d.Settings.ExposureSlack, RollbackAfter: time.Duration(d.Settings.RollbackAfter),
		OnStep: d.onRolloutStep, OnPlaced: func() { metrics.Count(d.metrics.RolloutCalls) },
	}
}

// onRolloutStep logs a step of a roll-out.
func (d *Front) onRolloutStep(s rollout.Step) {
	metrics.Count(d.metrics.Rollouts, metrics.Step(s.Name))
	d.Logger.Info("rollout step", "service", s.Service, "target_version", s.TargetVersion, "step", s.Name, "reason", s.Reason, "state", s.Status.State,
		"arrived", s.Status.Arrived, "exposed", s.Status.Exposed, "own_exposed", s.Status.OwnExposed, "answers", s.Status.Answers.Ended,
		"failed", s.Status.Answers.Failed, "interrupted", s.Status.Answers.Cut, "slow", s.Status.Slow, "doubt", s.Status.Doubt, "servers", s.Status.Targets)
}

// onOrders applies records of orders. They are applied again when the routed services change, as an
// order for an unknown service is ignored.
func (d *Front) onOrders(records []platform.Record, apply func([]platform.Record) []platform.BadRecord) {
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	for _, bad := range apply(records) {
		metrics.Count(d.metrics.BadRecords)
		d.Logger.Error("roll-out order refused; the last good one holds", "key", bad.Key, "error", bad.Err.Error())
	}
	d.applyOrders()
}

// applyOrders applies the orders for routed services. serversMu is held.
func (d *Front) applyOrders() {
	table := d.forwarder.Table.Load()
	if table == nil {
		return // again with the first routing
	}
	orders := d.orders.List()
	for service := range orders {
		if !table.HasService(service) {
			metrics.Count(d.metrics.BadRecords)
			d.Logger.Error("roll-out order for an unknown service ignored", "service", service)
			delete(orders, service)
		}
	}
	if len(orders) == 0 && !d.rollouts.Active() {
		return
	}
	removed := d.rollouts.SetOrders(orders)
	for _, service := range removed {
		d.work.Go(func() { d.forgetRollout(service) })
	}
	d.rollouts.SetServers(d.dispatcher.Servers())
	if len(orders) == 0 {
		d.dispatcher.SetGate(nil)
		return
	}
	d.dispatcher.SetGate(&dispatch.Gate{
		Allows: func(server *runworks.Instance, adopted bool) bool {
			return d.rollouts.Allows(time.Now(), server, adopted)
		},
		Arrived: func(service string) { d.rollouts.Arrived(time.Now(), service) },
		Placed:  d.rollouts.Placed, Ended: d.rollouts.Ended,
	})
	d.wakeRollouts.Signal()
}

// forgetRollout deletes from the store when an order was given that was taken back.
func (d *Front) forgetRollout(service string) {
	if err := d.store.ForgetRolloutStart(d.ctx, service); err != nil {
		d.Logger.Warn("the start of a roll-out could not be deleted from the store", "service", service, "error", err.Error())
	}
}

// runRollouts decides about roll-outs until ctx is done. It does nothing while none is ordered.
func (d *Front) runRollouts(ctx context.Context) {
	var sync rolloutSync
	for ctx.Err() == nil {
		if !d.rollouts.Active() {
			select {
			case <-ctx.Done():
			case <-d.wakeRollouts.C():
			}
			continue
		}
		now := time.Now()
		reach := d.exchange.Reach()
		writes := d.rollouts.Tick(now, rollout.Environment{Known: reach.Known, Live: reach.Live, Running: d.dispatcher.RunningCalls()})
		if reports := d.rollouts.Reports(now); len(reports) > 0 && reach.Live > 0 {
			d.exchange.SendRollouts(reports)
		}
		if len(writes) > 0 || d.rollouts.NeedsRead(now) {
			d.startRolloutSync(ctx, &sync, writes)
		}
		pause.For(ctx, rolloutInterval)
	}
}

// rolloutSync is the state of the exchange with the store.
type rolloutSync struct {
	running atomic.Bool
	// retryAt is when to try again after a failure.
	retryAt atomic.Pointer[time.Time]
}

// startRolloutSync calls syncRollouts in the background: a store that does not respond must not delay
// the reports to the other fronts.
func (d *Front) startRolloutSync(ctx context.Context, s *rolloutSync, writes []rollout.Write) {
	if at := s.retryAt.Load(); at != nil && time.Now().Before(*at) || !s.running.CompareAndSwap(false, true) {
		return
	}
	d.work.Go(func() {
		defer s.running.Store(false)
		if err := d.syncRollouts(ctx, writes); err != nil && ctx.Err() == nil {
			at := time.Now().Add(rolloutRetryDelay)
			s.retryAt.Store(&at)
			d.Logger.Warn("status of roll-outs could not be synchronized with the store; retrying", "error", err.Error())
		}
	})
}

// syncRollouts reads what the store holds about roll-outs, and then writes statuses on condition
// that it is still the same: a front that was suspended in between writes nothing.
func (d *Front) syncRollouts(ctx context.Context, writes []rollout.Write) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.Settings.RollbackAfter)/5)
	defer cancel()
	started := make(map[string]time.Time)
	for _, service := range d.rollouts.Services() {
		version, needed := d.rollouts.NeedsStart(service)
		if !needed {
			continue
		}
		at, err := d.store.RolloutStarted(ctx, service, version, time.Now())
		if errors.Is(err, platform.ErrConflict) {
			continue // another front was first; read again
		}
		if err != nil {
			return errorx.Decorate(err, "when the order for %s was given", service)
		}
		started[service] = at
	}
	before := time.Now()
	state, err := d.store.ReadRollouts(ctx)
	if err != nil {
		return err
	}
	for _, bad := range state.Bad {
		d.Logger.Error("invalid status of a roll-out", "key", bad.Key, "error", bad.Err.Error())
	}
	for _, service := range d.rollouts.Services() {
		d.rollouts.StatusRead(before, service, state.Status(service), started[service])
	}
	if len(writes) == 0 {
		return nil
	}
	return d.writeRollout(ctx, state, writes[0]) // the position changes with it; the rest follows after the next read
}

// writeRollout writes one status.
func (d *Front) writeRollout(ctx context.Context, state *platform.RolloutState, w rollout.Write) error {
	now := time.Now()
	err := d.store.WriteRollout(ctx, state, w.Service, w.Status)
	switch {
	case errors.Is(err, platform.ErrConflict):
		return nil // the next read says what was written
	case err != nil:
		return errorx.Decorate(err, "write that %s is %s", w.Service, w.Status.State)
	}
	d.Logger.Info("rollout status written", "service", w.Service, "target_version", w.Status.TargetVersion, "state", w.Status.State, "reason", w.Reason)
	d.rollouts.StatusRead(now, w.Service, &w.Status, time.Time{})
	// The old engines stop as soon as the status is completed: the other fronts must know at once.
	d.exchange.SendRollouts(d.rollouts.Reports(time.Now()))
	return nil
}

// onRolloutReports applies the reports of another front.
func (d *Front) onRolloutReports(from runworks.Incarnation, list []rollout.Report) {
	now := time.Now()
	for i := range list {
		if err := d.rollouts.ApplyReport(now, from, &list[i]); err != nil {
			d.Logger.Warn("report about a roll-out ignored", "incarnation", from, "service", list[i].Service, "error", err.Error())
		}
	}
}
