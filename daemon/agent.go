package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/backend"
	"github.com/runworks/runworks/modules/setting"
	"github.com/runworks/runworks/routers/callers"
	"github.com/runworks/runworks/routers/operators"
	"github.com/runworks/runworks/routers/runs"
	"github.com/runworks/runworks/services/agent"
	"github.com/runworks/runworks/services/config"
)

const readHeaderTimeout = 10 * time.Second

// Agent runs an agent with the given settings.
type Agent struct {
	Settings *setting.Agent
	Deps     Deps
	// Connect returns a client of the backend server; nil means HTTP.
	Connect func(kind runworks.ServiceKind, address string) runworks.Backend

	// BeforeStart, if not nil, is called before the start and may set fields that have no setting.
	BeforeStart func(*agent.Agent)
	// Started, if not nil, is closed by Run once Agent and Config are set.
	Started chan struct{}
	// Agent and Config are set by Run before it serves.
	Agent  *agent.Agent
	Config *config.Follower
}

// Run runs until stop is closed and the planned stop is complete. When ctx is canceled, it returns
// at once and calls in progress are cut off.
func (d *Agent) Run(ctx context.Context, stop <-chan struct{}) error {
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
	if err := servers.listen(&d.Deps, &d.Settings.Common, "entries"); err != nil {
		return err
	}
	d.Agent.Start(ctx)
	if d.Started != nil {
		close(d.Started)
	}
	var work conc.WaitGroup
	work.Go(func() { d.Config.Run(ctx) })
	servers.serve(&work)
	select {
	case <-ctx.Done():
	case <-stop:
		d.drain(ctx, servers.clients)
	}
	d.Agent.Close()
	servers.close()
	cancel()
	work.Wait()
	return nil
}

// build assembles the components.
func (d *Agent) build() (*httpServers, error) {
	s, deps := d.Settings, &d.Deps
	metricSet, err := newMetrics()
	if err != nil {
		return nil, err
	}
	if d.Connect == nil {
		d.Connect = func(kind runworks.ServiceKind, address string) runworks.Backend {
			return backend.New(kind, address, deps.Dial)
		}
	}
	d.Config = newFollower(deps, &s.Common)
	d.Agent = &agent.Agent{
		Name: s.Name, Server: s.Server, ProgramVersion: Version, Config: d.Config, Connect: d.Connect,
		Logger: deps.Logger, Metrics: metricSet, Tracer: deps.Tracer,
		MaxWaiting: s.MaxWaiting, MaxResponseBytes: s.MaxAnswerBytes, KeySkew: s.KeySkew,
	}
	if d.BeforeStart != nil {
		d.BeforeStart(d.Agent)
	}
	d.Config.OnChange = d.Agent.Configure
	routes := &runs.Routes{Agent: d.Agent, Keys: s.FleetKeys}
	operatorRoutes := &operators.Routes{Ready: d.ready, Metrics: metricSet, Status: func() any { return d.Agent.Status() }}
	return &httpServers{
		clients:   &http.Server{Handler: routes.Handler(), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: callers.MaxHeaderBytes},
		operators: &http.Server{Handler: operatorRoutes.Handler(), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: callers.MaxHeaderBytes},
	}, nil
}

func (d *Agent) ready() error {
	if d.Config.Version() == 0 {
		return runworks.ErrNotReady
	}
	if d.Agent.Heartbeat().Draining {
		return runworks.ErrStopping
	}
	return nil
}

// drain waits until running requests have ended and their responses are sent, up to the stop limit.
func (d *Agent) drain(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, d.Settings.StopLimit)
	defer cancel()
	if err := d.Agent.Drain(ctx); err != nil {
		d.Deps.Logger.Warn("planned stop cut short", "error", err)
		return
	}
	if err := server.Shutdown(ctx); err != nil {
		d.Deps.Logger.Warn("planned stop cut short", "error", err)
	}
}
