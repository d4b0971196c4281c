// Package platform contains HTTP clients for the platform's log service and host list, which
// docs/platform-log.md and docs/platform-hosts.md describe.
package platform
