// Package runworks holds the data and the interfaces of a request scheduler
// for unlike engines: the configuration in force, the tickets that stand for
// waiting requests, the outcome of a request, and what the scheduler expects
// of backend servers and of the platform.
package runworks
