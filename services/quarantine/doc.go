// Package quarantine keeps requests that make backend servers exit away from further servers, and
// recognises such a request whenever it is sent again.
package quarantine
