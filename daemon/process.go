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

// Deps are what varies around a process; nil fields get the usual ones.
type Deps struct {
	// Log is the log service; nil is the one that the settings name.
	Log runworks.LogService
	// Hosts is the host list; nil is the one that the settings name.
	Hosts runworks.HostList
	// Dial opens connections, and Listen opens listeners.
	Dial   rpc.DialFunc
	Listen func(address string) (net.Listener, error)
	Logger hclog.Logger
	// Tracer records spans; nil is by settings.
	Tracer trace.Tracer
}

// setDefaults puts the usual parts in the place of nil ones; the function it gives
// sends the last spans.
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

// newTracer builds the tracer of a process by its settings; the function it gives
// sends the last spans.
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

// newFollower builds the newFollower of the configuration log.
func newFollower(p *Deps, c *setting.Common) *config.Follower {
	return &config.Follower{Log: p.Log, PollInterval: c.ConfigPoll, RepublishInterval: c.RepublishInterval, Logger: p.Logger}
}

// listen opens a listener and says where on the log.
func (p *Deps) listen(client, address string) (net.Listener, error) {
	listener, err := p.Listen(address)
	if err != nil {
		return nil, errorx.Decorate(err, "listen for %s on %s", client, address)
	}
	p.Logger.Info("listening", "for", client, "address", listener.Addr().String())
	return listener, nil
}

// httpServers are the two httpServers of a process: towards its peers, who are callers or
// entries, and towards operators.
type httpServers struct {
	clients, operators                 *http.Server
	clientsListener, operatorsListener net.Listener
}

// listen listens for both.
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

// serve runs both until they are closed.
func (s *httpServers) serve(work *conc.WaitGroup) {
	work.Go(func() { _ = s.clients.Serve(s.clientsListener) })
	work.Go(func() { _ = s.operators.Serve(s.operatorsListener) })
}

func (s *httpServers) close() {
	_ = s.clients.Close()
	_ = s.operators.Close()
}

// newMetrics builds the instruments of a process.
func newMetrics() (*metrics.Set, error) {
	set, err := metrics.New()
	if err != nil {
		return nil, errorx.Decorate(err, "build the metrics")
	}
	return set, nil
}
