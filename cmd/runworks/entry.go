package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/runworks/runworks/daemon"
	"github.com/runworks/runworks/modules/logging"
	"github.com/runworks/runworks/modules/setting"
)

// addEntry adds the command that runs an entry.
func addEntry(app *kingpin.Application) {
	cmd := app.Command("entry", "Run an entry: take calls and own each until its answer is given.\n\nExample: runworks entry --settings /etc/runworks/entry.yaml")
	file := cmd.Flag("settings", "The settings, a YAML file.").Required().String()
	check := cmd.Flag("check", "Only check the settings.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error {
		settings, err := setting.LoadEntry(*file)
		if err != nil {
			return err
		}
		if *check {
			fmt.Println("the settings are good")
			return nil
		}
		ctx, stop, done := signals()
		defer done()
		logger := logging.New(os.Stderr, "entry", settings.Log.Level, settings.Log.JSON)
		process := &daemon.Entry{Settings: settings, Parts: daemon.Parts{Logger: logger}}
		return process.Run(ctx, stop)
	})
}
