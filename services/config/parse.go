package config

import (
	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/yamlfile"
)

// Parse decodes and checks a configuration file. The error is a yamlfile.Mistakes that lists
// every mistake with its line.
func Parse(file string, data []byte) (*runworks.Config, error) {
	var cfg runworks.Config
	if err := yamlfile.Decode(file, data, &cfg, func() []yamlfile.Mistake { return Check(&cfg) }); err != nil {
		return nil, err
	}
	return &cfg, nil
}
