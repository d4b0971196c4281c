package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/runworks/runworks/daemon"
	"github.com/runworks/runworks/modules/logging"
	"github.com/runworks/runworks/modules/setting"
)

// addAgent adds the command that runs an agent.
func addAgent(app *kingpin.Application) {
	cmd := app.Command("agent", "Run an agent beside a backend server: decide what runs on it and when.\n\nExample: runworks agent --settings /etc/runworks/agent.yaml")
	file := cmd.Flag("settings", "The settings, a YAML file.").Required().String()
	check := cmd.Flag("check", "Only check the settings.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error {
		settings, err := setting.LoadAgent(*file)
		if err != nil {
			return err
		}
		if *check {
			fmt.Println("the settings are good")
			return nil
		}
		ctx, stop, done := signals()
		defer done()
		logger := logging.New(os.Stderr, "agent", settings.Log.Level, settings.Log.JSON)
		process := &daemon.Agent{Settings: settings, Parts: daemon.Parts{Logger: logger}}
		return process.Run(ctx, stop)
	})
}
