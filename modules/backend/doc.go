// Package backend is an HTTP client for backend servers that sends each call at most once.
package backend
