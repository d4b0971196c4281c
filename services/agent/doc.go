// Package agent decides what runs on one backend server and when: it queues
// tickets, claims the first when a slot is free, sends the request to the
// backend server once, and keeps the answer's stream until it is fetched.
package agent
