package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/platform"
	"github.com/runworks/runworks/services/config"
)

const defaultApplyTimeout = 15 * time.Second

// addApply adds the command that applies a configuration file.
func addApply(app *kingpin.Application) {
	cmd := app.Command("apply", "Apply a whole configuration file.\n\nExample: runworks apply -f yard.yaml --log-service http://10.0.0.9:9000")
	file := cmd.Flag("file", "The configuration, a YAML file.").Short('f').Required().String()
	log := cmd.Flag("log-service", "The base URL of the platform's log service.").Envar("RUNWORKS_LOG_SERVICE").Required().String()
	base := cmd.Flag("base", "The version that the file is based on; by default the active version.").Default("-1").Int64()
	timeout := cmd.Flag("timeout", "How long to wait for the result from the log service.").Default(defaultApplyTimeout.String()).Duration()
	cmd.Action(func(*kingpin.ParseContext) error {
		cfg, err := readConfig(*file)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), *timeout)
		defer cancel()
		result, err := config.Apply(ctx, &platform.Log{Address: *log}, *base, cfg)
		if err != nil {
			return err
		}
		fmt.Printf("version %d is active\n", result.Version)
		return nil
	})
}

// addCheck adds the command that validates a configuration file offline.
func addCheck(app *kingpin.Application) {
	cmd := app.Command("check", "Check a configuration file, offline.\n\nExample: runworks check -f yard.yaml")
	file := cmd.Flag("file", "The configuration, a YAML file.").Short('f').Required().String()
	cmd.Action(func(*kingpin.ParseContext) error {
		cfg, err := readConfig(*file)
		if err != nil {
			return err
		}
		fmt.Printf("valid: %d services, %d tiers, %d customers, %d rules\n",
			len(cfg.Services), len(cfg.Tiers), len(cfg.Customers), len(cfg.Rules))
		return nil
	})
}

func readConfig(file string) (*runworks.Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errorx.Decorate(err, "read the configuration")
	}
	return config.Parse(file, data)
}
