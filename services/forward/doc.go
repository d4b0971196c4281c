// Package forward handles a call from its admission to the end of its response: it finds the route
// and the customer, waits for a backend server, sends the call, retries it where that is proved
// safe, and resumes streams.
package forward
