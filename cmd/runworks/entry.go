package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/runworks/runworks/daemon"
	"github.com/runworks/runworks/modules/logging"
	"github.com/runworks/runworks/modules/setting"
)

// addEntry adds the command that runs an entry.
func addEntry(app *kingpin.Application) {
	help := "Run an entry: accept calls and own each one until its response is sent.\n\nExample: runworks entry --settings /etc/runworks/entry.yaml"
	addProcess(app, "entry", help, func(file string) (runFunc, error) {
		settings, err := setting.LoadEntry(file)
		if err != nil {
			return nil, err
		}
		logger := logging.New(os.Stderr, "entry", settings.Log.Level, settings.Log.JSON)
		process := &daemon.Entry{Settings: settings, Deps: daemon.Deps{Logger: logger}}
		return process.Run, nil
	})
}
