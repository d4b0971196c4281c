// Package quarantine keeps requests from the backend servers that end each one which begins
// to run them, and knows such a request again whenever it comes back.
package quarantine
