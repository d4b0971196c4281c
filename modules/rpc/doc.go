// Package rpc carries JSON-RPC 2.0 between the processes. A control connection starts as an
// HTTP request and is then upgraded, so that a process needs only one port.
package rpc
