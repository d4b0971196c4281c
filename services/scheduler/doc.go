// Package scheduler lets one entry grant the slots of a service to the calls of all entries. A Client
// asks the entry that schedules a service, and a Server answers the other entries' clients. Without a
// scheduler each entry uses its own dispatcher.
package scheduler
