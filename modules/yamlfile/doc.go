// Package yamlfile decodes YAML files strictly and reports errors with file, line and field.
package yamlfile
