// Package rollout decides how the calls of a service move to servers of another version: which
// servers may get calls, how many calls a version that may be bad gets, and when it is accepted or
// rolled back. It uses neither a network nor a clock.
package rollout
