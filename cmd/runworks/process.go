package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
)

// runFunc runs a process until stop is closed and its planned stop is complete.
type runFunc func(ctx context.Context, stop <-chan struct{}) error

// addProcess adds a command that runs a process with the settings in a file, or only validates them.
// load reads the settings and returns the function that runs the process.
func addProcess(app *kingpin.Application, name, help string, load func(file string) (runFunc, error)) {
	cmd := app.Command(name, help)
	file := cmd.Flag("settings", "The settings, a YAML file.").Required().String()
	check := cmd.Flag("check", "Only check the settings.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error {
		run, err := load(*file)
		if err != nil {
			return err
		}
		if *check {
			fmt.Println("the settings are valid")
			return nil
		}
		ctx, stop, done := stopSignals()
		defer done()
		return run(ctx, stop)
	})
}
