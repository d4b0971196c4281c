// Package forward owns a call from its admission to the end of its answer: it
// finds the route and the customer, waits for a backend server, sends, sends
// again where that is proved to be safe, and resumes streams.
package forward
