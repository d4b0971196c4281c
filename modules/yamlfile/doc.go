// Package yamlfile reads YAML files strictly, and names what is wrong with them
// by file, line and field.
package yamlfile
