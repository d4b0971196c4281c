package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/trace"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/modules/platform"
	"github.com/runworks/runworks/modules/rpc"
	"github.com/runworks/runworks/modules/setting"
	"github.com/runworks/runworks/modules/tracing"
	"github.com/runworks/runworks/services/config"
)

// Version is the program's version; the build sets it.
var Version = "dev"

// Deps are the dependencies of a process that tests may replace. Nil fields are set to defaults.
type Deps struct {
	// Log is the log service; nil means the one in the settings.
	Log runworks.LogService
	// Hosts is the host list; nil means the one in the settings.
	Hosts runworks.HostList
	// Dial opens connections, and Listen opens listeners.
	Dial   rpc.DialFunc
	Listen func(address string) (net.Listener, error)
	Logger hclog.Logger
	// Tracer records spans; nil means the one in the settings.
	Tracer trace.Tracer
}

// setDefaults sets nil fields to their defaults. The returned function sends the last trace spans.
func (p *Deps) setDefaults(ctx context.Context, c *setting.Common) (func(), error) {
	if p.Log == nil {
		p.Log = &platform.Log{Address: c.LogService}
	}
	if p.Dial == nil {
		p.Dial = (&net.Dialer{}).DialContext
	}
	if p.Listen == nil {
		p.Listen = func(address string) (net.Listener, error) {
			return (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		}
	}
	if p.Logger == nil {
		p.Logger = hclog.NewNullLogger()
	}
	if p.Tracer != nil {
		return func() {}, nil
	}
	tracer, flushSpans, err := newTracer(ctx, c.Name, c.Traces)
	p.Tracer = tracer
	return flushSpans, err
}

// newTracer returns the tracer that the settings of a process name. The returned function sends the
// last trace spans.
func newTracer(ctx context.Context, process string, t setting.Traces) (trace.Tracer, func(), error) {
	if t.Endpoint == "" {
		return tracing.Noop(), func() {}, nil
	}
	provider, err := tracing.NewProvider(ctx, t.Endpoint, process, t.Sampled)
	if err != nil {
		return nil, nil, err
	}
	return provider.Tracer(), func() { flush(provider) }, nil
}

const flushTimeout = 3 * time.Second

func flush(provider *tracing.Provider) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	_ = provider.Shutdown(ctx)
}

// newFollower returns a follower of the configuration log.
func newFollower(p *Deps, c *setting.Common) *config.Follower {
	return &config.Follower{Log: p.Log, PollInterval: c.ConfigPoll, RepublishInterval: c.RepublishInterval, Logger: p.Logger}
}

// listen opens a listener and logs its address.
func (p *Deps) listen(client, address string) (net.Listener, error) {
	listener, err := p.Listen(address)
	if err != nil {
		return nil, errorx.Decorate(err, "listen for %s on %s", client, address)
	}
	p.Logger.Info("listening", "for", client, "address", listener.Addr().String())
	return listener, nil
}

// httpServers are the two HTTP servers of a process: one for its clients, which are callers or
// entries, and one for operators.
type httpServers struct {
	clients, operators                 *http.Server
	clientsListener, operatorsListener net.Listener
}

// listen opens the listeners of both servers.
func (s *httpServers) listen(deps *Deps, c *setting.Common, clients string) error {
	var err error
	if s.clientsListener, err = deps.listen(clients, c.Listen); err != nil {
		return err
	}
	if s.operatorsListener, err = deps.listen("operators", c.Operators); err != nil {
		_ = s.clientsListener.Close()
		return err
	}
	return nil
}

// serve starts both servers; they run until close is called.
func (s *httpServers) serve(work *conc.WaitGroup) {
	work.Go(func() { _ = s.clients.Serve(s.clientsListener) })
	work.Go(func() { _ = s.operators.Serve(s.operatorsListener) })
}

func (s *httpServers) close() {
	_ = s.clients.Close()
	_ = s.operators.Close()
}

// newMetrics returns the metrics of a process.
func newMetrics() (*metrics.Set, error) {
	set, err := metrics.New()
	if err != nil {
		return nil, errorx.Decorate(err, "build the metrics")
	}
	return set, nil
}
