// Package logging builds the loggers of the processes.
package logging

import (
	"io"

	"github.com/hashicorp/go-hclog"
)

// New builds a logger for a process; an empty level is info.
func New(w io.Writer, process, level string, asJSON bool) hclog.Logger {
	if level == "" {
		level = "info"
	}
	return hclog.New(&hclog.LoggerOptions{
		Name: process, Level: hclog.LevelFromString(level), JSONFormat: asJSON, Output: w,
	})
}
