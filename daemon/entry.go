package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/conc"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/platform"
	"github.com/runworks/runworks/modules/setting"
	"github.com/runworks/runworks/routers/callers"
	"github.com/runworks/runworks/routers/operators"
	"github.com/runworks/runworks/services/admission"
	"github.com/runworks/runworks/services/config"
	"github.com/runworks/runworks/services/entry"
)

// Entry runs an entry with the given settings.
type Entry struct {
	Settings *setting.Entry
	Deps     Deps

	// BeforeStart, if not nil, is called before the start and may set fields that have no setting.
	BeforeStart func(*entry.Entry)
	// Started, if not nil, is closed by Run once Entry and Config are set.
	Started chan struct{}
	// Entry and Config are set by Run before it serves.
	Entry  *entry.Entry
	Config *config.Follower

	draining atomic.Bool
	shares   *admission.Shares
}

// Run runs until stop is closed and the planned stop is complete. When ctx is canceled, it returns
// at once and calls in progress are cut off.
func (d *Entry) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	flush, err := d.Deps.setDefaults(ctx, &d.Settings.Common)
	if err != nil {
		return err
	}
	defer flush()
	servers, err := d.build()
	if err != nil {
		return err
	}
	if err := servers.listen(&d.Deps, &d.Settings.Common, "callers"); err != nil {
		return err
	}
	if d.Started != nil {
		close(d.Started)
	}
	var work conc.WaitGroup
	work.Go(func() { d.Config.Run(ctx) })
	work.Go(func() { d.Entry.Run(ctx) })
	servers.serve(&work)
	select {
	case <-ctx.Done():
	case <-stop:
		d.drain(ctx, servers.clients)
	}
	servers.close()
	cancel()
	work.Wait()
	return nil
}

// build assembles the components.
func (d *Entry) build() (*httpServers, error) {
	s, deps := d.Settings, &d.Deps
	if deps.Hosts == nil {
		deps.Hosts = &platform.Hosts{Address: s.HostList, Logger: deps.Logger}
	}
	metricSet, err := newMetrics()
	if err != nil {
		return nil, err
	}
	d.Config = newFollower(deps, &s.Common)
	d.Entry = &entry.Entry{
		Name: s.Name, Hall: s.Hall, ProgramVersion: Version, Config: d.Config, Hosts: deps.Hosts, HostsPollInterval: s.HostsPoll,
		Dial: deps.Dial, Keys: s.FleetKeys, Logger: deps.Logger, Metrics: metricSet, Tracer: deps.Tracer,
	}
	if d.BeforeStart != nil {
		d.BeforeStart(d.Entry)
	}
	d.Entry.Start()
	d.shares = &admission.Shares{Name: s.Name, MaxLag: s.ListSettle}
	d.Entry.OnEntries = func(names []string) { d.shares.Observe(time.Now(), names) }
	admit := &admission.Admission{Config: d.Config, Shares: d.shares}
	routes := &callers.Routes{Entry: d.Entry, Admission: admit, Tracer: deps.Tracer, MaxBodyBytes: s.MaxBodyBytes}
	operatorRoutes := &operators.Routes{Ready: d.ready, Metrics: metricSet, Status: func() any { return d.Entry.Status() }}
	return &httpServers{clients: callers.Server(routes.Handler()), operators: callers.Server(operatorRoutes.Handler())}, nil
}

func (d *Entry) ready() error {
	if d.draining.Load() {
		return runworks.ErrStopping
	}
	if !d.shares.Ready(time.Now()) {
		return errorx.Decorate(runworks.ErrNotReady, "the host list has not settled")
	}
	return d.Entry.Ready()
}

// drain reports not ready, keeps serving until the load balancer has noticed, and then waits until
// the remaining calls have ended, up to the stop limit.
func (d *Entry) drain(ctx context.Context, server *http.Server) {
	d.draining.Store(true)
	d.Deps.Logger.Info("planned stop: reporting not ready", "balancer_delay", d.Settings.BalancerDelay)
	select {
	case <-ctx.Done():
		return
	case <-time.After(d.Settings.BalancerDelay):
	}
	ctx, cancel := context.WithTimeout(ctx, d.Settings.StopLimit)
	defer cancel()
	d.Entry.Stop()
	if err := server.Shutdown(ctx); err != nil {
		d.Deps.Logger.Warn("planned stop cut short", "error", err)
		return
	}
	if err := d.Entry.Drain(ctx); err != nil {
		d.Deps.Logger.Warn("planned stop cut short", "error", err)
	}
}
