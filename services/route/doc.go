// Package route finds the route, the customer and the service of a call in the
// routing in force.
package route
