package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/runworks/runworks/daemon"
	"github.com/runworks/runworks/modules/logging"
	"github.com/runworks/runworks/modules/setting"
)

// addAgent adds the command that runs an agent.
func addAgent(app *kingpin.Application) {
	help := "Run an agent beside a backend server: schedule the requests that run on it.\n\nExample: runworks agent --settings /etc/runworks/agent.yaml"
	addProcess(app, "agent", help, func(file string) (runFunc, error) {
		settings, err := setting.LoadAgent(file)
		if err != nil {
			return nil, err
		}
		logger := logging.New(os.Stderr, "agent", settings.Log.Level, settings.Log.JSON)
		process := &daemon.Agent{Settings: settings, Deps: daemon.Deps{Logger: logger}}
		return process.Run, nil
	})
}
