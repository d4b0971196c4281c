// Package runworks defines the data types and interfaces of a request scheduler for
// heterogeneous engines: the configuration, the reservations that represent waiting
// requests, the outcome of a request, and the interfaces to backend servers and to the
// platform.
package runworks
