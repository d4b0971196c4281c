// Command runworks schedules requests for heterogeneous engines.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/runworks/runworks/daemon"
)

func main() {
	app := kingpin.New("runworks", "A request scheduler for heterogeneous engines.")
	app.HelpFlag.Short('h')
	app.Version(daemon.Version)
	commands := []func(*kingpin.Application){addEntry, addAgent, addFront, addApply, addCheck, addStatus, addDev, addVersion}
	for _, add := range commands {
		add(app)
	}
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "runworks:", err)
		os.Exit(1)
	}
}

// stopSignals returns a channel that the first SIGTERM or SIGINT closes and a context that the
// second one cancels. done releases both.
func stopSignals() (ctx context.Context, stop <-chan struct{}, done func()) {
	ctx, cancel := context.WithCancel(context.Background())
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	first := make(chan struct{})
	go func() {
		select {
		case <-received:
		case <-ctx.Done():
			return
		}
		close(first)
		select {
		case <-received:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, first, func() {
		signal.Stop(received)
		cancel()
	}
}
