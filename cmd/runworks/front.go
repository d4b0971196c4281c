package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/runworks/runworks/daemon"
	"github.com/runworks/runworks/modules/logging"
	"github.com/runworks/runworks/modules/setting"
)

// addFront adds the command that runs a front.
func addFront(app *kingpin.Application) {
	help := "Run a front: an entry on a platform whose store holds the routing and names the backend servers.\n\nExample: runworks front --settings /etc/runworks/settings.yaml"
	addProcess(app, "front", help, func(file string) (runFunc, error) {
		settings, err := setting.LoadFront(file)
		if err != nil {
			return nil, err
		}
		return func(ctx context.Context, stop <-chan struct{}) error {
			out := logging.NewBoundedWriter(os.Stdout, settings.LogLinesPerSecond)
			defer out.Close()
			process := &daemon.Front{
				Settings: settings, Logger: logging.New(out, "front", settings.Log.Level, settings.Log.JSON),
				DroppedLines: out.Dropped, Reload: reloadSignals(), LoadSettings: func() (*setting.Front, error) { return setting.LoadFront(file) },
			}
			return process.Run(ctx, stop)
		}, nil
	})
}

// reloadSignals returns a channel that receives a value for each SIGHUP.
func reloadSignals() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	out := make(chan struct{})
	go func() {
		for range signals {
			out <- struct{}{}
		}
	}()
	return out
}
