// Package platform speaks to the platform's log service and host list over
// HTTP, as docs/platform-log.md and docs/platform-hosts.md describe.
package platform
