// Package serverlimit enforces the rate limits that backend servers report, in requests a second
// from all entries together. Each entry has a fixed share of a limit and sends within it without
// coordination: whatever the entries do in the same moment, a server gets no more than it
// accepts.
//
// A share is a token bucket. Its tokens are called permits here, as "tokens" are those of prompts
// and answers in this project.
package serverlimit
