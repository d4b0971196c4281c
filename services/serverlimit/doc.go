// Package serverlimit keeps the limits that backend servers name, in requests a second from
// all entries together. Each entry has a fixed part of a limit and sends within it without
// asking: whatever the entries do in the same moment, a server gets no more than it takes.
//
// A part is a token bucket. Its tokens are called requests at hand, as tokens are those of
// prompts and answers in this project.
package serverlimit
