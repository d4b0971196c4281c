// Package returns decides when refused callers should return: in the order in which they were refused,
// no faster than capacity becomes free for them.
package returns
