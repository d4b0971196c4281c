// Package logging creates the loggers of the processes.
package logging

import (
	"io"

	"github.com/hashicorp/go-hclog"
)

// New returns a logger for a process that writes to w; an empty level means info.
func New(w io.Writer, process, level string, asJSON bool) hclog.Logger {
	if level == "" {
		level = "info"
	}
	return hclog.New(&hclog.LoggerOptions{
		Name: process, Level: hclog.LevelFromString(level), JSONFormat: asJSON, Output: w,
	})
}
