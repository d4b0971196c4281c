package config

import (
	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/yamlfile"
)

// Parse reads a configuration file and checks it whole; the error is
// yamlfile.Mistakes and names every mistake with its line.
func Parse(file string, data []byte) (*runworks.Config, error) {
	var cfg runworks.Config
	if err := yamlfile.Decode(file, data, &cfg, func() []yamlfile.Mistake { return Check(&cfg) }); err != nil {
		return nil, err
	}
	return &cfg, nil
}
