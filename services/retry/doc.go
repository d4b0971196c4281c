// Package retry bounds how often calls are sent again.
package retry
