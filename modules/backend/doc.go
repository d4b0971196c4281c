// Package backend reaches backend servers over HTTP, and sends each call at
// most once.
package backend
