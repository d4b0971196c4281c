// Package dev runs all components with simulated backend servers in one process, for development.
package dev

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"github.com/sourcegraph/conc"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/daemon"
	"github.com/runworks/runworks/modules/setting"
	"github.com/runworks/runworks/services/config"
	"github.com/runworks/runworks/standin"
)

// Key is the API key of the sample customer.
const Key = "dev-key-technicians"

// anyPort is the address of a free port on the loopback interface.
const anyPort = "127.0.0.1:0"

const fleetKey = "dev-fleet-key-of-one-process"

// Sample is the sample configuration; Run fills in the addresses.
//
//go:embed sample.yaml
var Sample string

// Dev runs all components in one process. Set the exported fields before Run.
type Dev struct {
	// Listen is the address for callers, host:port.
	Listen string
	// Out receives the usage text.
	Out    io.Writer
	Logger hclog.Logger

	log     standin.Log
	hosts   standin.Hosts
	work    conc.WaitGroup
	servers []*http.Server
}

// Run runs until stop is closed and the planned stop is complete.
func (d *Dev) Run(ctx context.Context, stop <-chan struct{}) error {
	defer d.close()
	cfg, err := d.startBackends(ctx)
	if err != nil {
		return err
	}
	if _, err := config.Apply(ctx, &d.log, 0, cfg); err != nil {
		return errorx.Decorate(err, "apply the sample configuration")
	}
	stopAgents := make(chan struct{})
	for _, service := range cfg.Services {
		for _, server := range service.BackendServers {
			if err := d.startAgent(ctx, stopAgents, &server); err != nil {
				return err
			}
		}
	}
	err = d.runEntry(ctx, stop)
	close(stopAgents)
	return err
}

// startBackends starts the simulated backend servers and returns the configuration with their
// addresses.
func (d *Dev) startBackends(ctx context.Context) (*runworks.Config, error) {
	handlers := map[string]http.Handler{
		"{{old}}":   (&standin.Engine{Name: "engine-old", Slots: 4, PrefillPerSecond: 2000, DecodePerSecond: 40}).Handler(),
		"{{new}}":   (&standin.Engine{Name: "engine-new", Slots: 8, PrefillPerSecond: 8000, DecodePerSecond: 120}).Handler(),
		"{{plain}}": (&standin.PlainService{}).Handler(),
	}
	text := Sample
	for placeholder, handler := range handlers {
		listener, err := listen(ctx, anyPort)
		if err != nil {
			return nil, errorx.Decorate(err, "listen for a simulated backend server")
		}
		server := &http.Server{Handler: handler}
		d.servers = append(d.servers, server)
		d.work.Go(func() { _ = server.Serve(listener) })
		text = strings.ReplaceAll(text, placeholder, "http://"+listener.Addr().String())
	}
	return config.Parse("sample.yaml", []byte(text))
}

// startAgent starts an agent for a backend server and adds it to the host list.
func (d *Dev) startAgent(ctx context.Context, stop <-chan struct{}, server *runworks.BackendServer) error {
	listener, err := listen(ctx, anyPort)
	if err != nil {
		return errorx.Decorate(err, "listen for an agent")
	}
	name := "host-" + server.Name
	agent := &daemon.Agent{
		Settings: &setting.Agent{Common: d.commonSettings(name, server.Hall), Server: server.Name},
		Deps: daemon.Deps{
			Log: &d.log, Logger: d.Logger.Named(name),
			Listen: presetListeners(ctx, listener),
		},
	}
	d.hosts.Put(runworks.Host{Name: name, Role: runworks.RoleAgent, Hall: server.Hall, Address: listener.Addr().String()})
	d.work.Go(func() {
		if err := agent.Run(ctx, stop); err != nil {
			d.Logger.Error("agent failed", "server", server.Name, "error", err)
		}
	})
	return nil
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", address)
}

// presetListeners returns a listen function that returns the given open listeners in order, and
// then opens new ones.
func presetListeners(ctx context.Context, listeners ...net.Listener) func(string) (net.Listener, error) {
	return func(address string) (net.Listener, error) {
		if len(listeners) == 0 {
			return listen(ctx, address)
		}
		next := listeners[0]
		listeners = listeners[1:]
		return next, nil
	}
}

func (d *Dev) runEntry(ctx context.Context, stop <-chan struct{}) error {
	d.hosts.Put(runworks.Host{Name: "entry", Role: runworks.RoleEntry, Hall: "walvis-a"})
	listener, err := listen(ctx, d.Listen)
	if err != nil {
		return errorx.Decorate(err, "listen for callers")
	}
	operators, err := listen(ctx, anyPort)
	if err != nil {
		return errorx.Decorate(err, "listen for operators")
	}
	entry := &daemon.Entry{
		Settings: &setting.Entry{Common: d.commonSettings("entry", "walvis-a")},
		Deps: daemon.Deps{
			Log: &d.log, Hosts: &d.hosts, Logger: d.Logger.Named("entry"),
			Listen: presetListeners(ctx, listener, operators),
		},
	}
	d.printUsage(listener.Addr().String(), operators.Addr().String())
	return entry.Run(ctx, stop)
}

func (d *Dev) commonSettings(name, hall string) setting.Common {
	return setting.Common{
		Name: name, Hall: hall, Operators: anyPort, FleetKeys: []string{fleetKey},
		ConfigPoll: setting.DefaultConfigPoll, RepublishInterval: setting.DefaultRepublishInterval, StopLimit: setting.DefaultStopLimit,
	}
}

// printUsage prints how to make a call.
func (d *Dev) printUsage(address, operators string) {
	_, _ = fmt.Fprintf(d.Out, `runworks dev is ready on http://%[1]s with the key %[2]s

Call an engine, with a streamed response:
  curl -N http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' \
    -d '{"model":"yard-7b","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"why is the compressor warm"}]}'

Call the plain service:
  curl http://%[1]s/services/yard-app/gate/check-in -H 'Authorization: Bearer %[2]s' -d 'truck 12'

Show the status of the entry:
  runworks status --operators http://%[3]s

`, address, Key, operators)
}

// close stops the simulated backend servers and waits for all components.
func (d *Dev) close() {
	for _, server := range d.servers {
		_ = server.Close()
	}
	d.work.Wait()
}
