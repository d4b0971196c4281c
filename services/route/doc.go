// Package route finds the route, the customer and the service of a call in the active routing.
package route
