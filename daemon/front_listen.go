package daemon

import (
	"context"
	"math"
	"net"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"

	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/modules/tcp"
	"github.com/runworks/runworks/platform"
	"github.com/runworks/runworks/routers/callers"
	"github.com/runworks/runworks/routers/operators"
)

// Indices of the listeners of a front.
const (
	callersListener = iota
	balancerListener
	frontsListener
	operatorsListener
)

// listen opens all listeners.
func (d *Front) listen(ctx context.Context) ([]net.Listener, error) {
	s := d.Settings
	names := []string{callersListener: "callers", balancerListener: "balancer", frontsListener: "fronts", operatorsListener: "operators"}
	addresses := []string{callersListener: s.Listen, balancerListener: s.Ready, frontsListener: s.Peers, operatorsListener: s.Operators}
	var out []net.Listener
	for i, address := range addresses {
		l, err := tcp.Options{PeerTimeout: s.PeerTimeout}.Listen(ctx, address)
		if err != nil {
			closeAll(out)
			return nil, errorx.Decorate(err, "listen for %s on %s", names[i], address)
		}
		out = append(out, l)
		d.Logger.Info("listening", "for", names[i], "address", l.Addr().String())
	}
	return out, nil
}

func closeAll(list []net.Listener) {
	for _, l := range list {
		_ = l.Close()
	}
}

// callersFraction is the fraction of the process's descriptors that callers' connections may use. Each
// call in progress needs another one to a backend server, and each other front has two.
const callersFraction = 0.4

// maxCallers returns how many connections of callers may be open.
func (d *Front) maxCallers() int {
	n, err := tcp.MaxDescriptors()
	if err != nil {
		d.Logger.Error("callers' connections are not bounded", "error", err.Error())
		return math.MaxInt
	}
	return int(callersFraction * float64(n))
}

// newCloseWatcher returns the watcher of callers' connections, or nil if the kernel has none to give: calls
// still end when the server's own reads notice a close.
func (d *Front) newCloseWatcher() *tcp.CloseWatcher {
	w, err := tcp.NewCloseWatcher()
	if err != nil {
		d.Logger.Error("callers that leave are noticed late", "error", err.Error())
		return nil
	}
	return w
}

// onCallerClosed logs a connection of a caller that is closed as too many are open.
func (d *Front) onCallerClosed(c net.Conn, idle bool, open int) {
	result := "refused"
	if idle {
		result = "closed"
	}
	metrics.Count(d.metrics.CallersClosed, metrics.Result(result))
	d.Logger.Warn("caller's connection closed, too many are open", "caller", c.RemoteAddr().String(), "idle", idle, "open", open)
}

// buildServers returns one HTTP server for each listener.
func (d *Front) buildServers(listeners []net.Listener) []*http.Server {
	operatorRoutes := &operators.Routes{Ready: d.ready, Metrics: d.metrics, Status: func() any { return d.status() }, Release: d.release}
	handlers := []http.Handler{
		callersListener: tcp.ResetOnAbort(d.front), balancerListener: platform.ReadyHandler(d.ready), frontsListener: d.exchange, operatorsListener: operatorRoutes.Handler(),
	}
	out := make([]*http.Server, len(listeners))
	for i, handler := range handlers {
		out[i] = &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: callers.MaxHeaderBytes, IdleTimeout: idleTimeout, ConnState: tcp.TrackIdle, ConnContext: tcp.WithConn,
			ErrorLog: d.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		}
	}
	return out
}
