// Package agent schedules the requests of one backend server: it queues reservations, claims a
// request when a slot is free, sends it to the backend server once, and buffers the response
// until it is read.
package agent
