package main

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/runworks/runworks/daemon"
)

// addVersion adds the command that shows the program's version.
func addVersion(app *kingpin.Application) {
	cmd := app.Command("version", "Show the program's version.")
	cmd.Action(func(*kingpin.ParseContext) error {
		fmt.Println("runworks", daemon.Version)
		return nil
	})
}
