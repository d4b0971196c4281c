// Package rpc carries JSON-RPC 2.0 between the system's processes, over a
// connection that starts as an HTTP request and is then upgraded, so that a
// process needs one port only.
package rpc
