package config

import (
	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/yamlfile"
)

// Parse reads a configuration file and checks it whole; the error is
// yamlfile.Mistakes and names every mistake with its line.
func Parse(file string, data []byte) (*runworks.Config, error) {
	var cfg runworks.Config
	root, err := yamlfile.Decode(file, data, &cfg)
	if err != nil {
		return nil, err
	}
	if list := Check(&cfg); len(list) > 0 {
		return nil, yamlfile.Locate(file, root, list)
	}
	return &cfg, nil
}
