// Package entry owns requests until they are answered: it places reservations at
// agents, grants each request to one agent, and reads the response from it.
package entry
