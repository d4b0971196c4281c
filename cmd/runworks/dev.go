package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/runworks/runworks/dev"
	"github.com/runworks/runworks/modules/logging"
)

// addDev adds the command that runs all components in one process.
func addDev(app *kingpin.Application) {
	cmd := app.Command("dev", "Run all components with simulated backend servers in one process.\n\nExample: runworks dev --listen 127.0.0.1:8080")
	listen := cmd.Flag("listen", "Address for callers, host:port.").Default("127.0.0.1:8080").String()
	level := cmd.Flag("log-level", "trace, debug, info, warn or error.").Default("warn").String()
	cmd.Action(func(*kingpin.ParseContext) error {
		ctx, stop, done := stopSignals()
		defer done()
		all := &dev.Dev{Listen: *listen, Out: os.Stdout, Logger: logging.New(os.Stderr, "dev", *level, false)}
		return all.Run(ctx, stop)
	})
}
