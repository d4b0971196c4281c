// Package notify wakes those who wait for a state that a lock guards to change.
package notify

// Change is waited for by any number; the zero value is ready. The owner's lock
// guards it.
type Change struct {
	next chan struct{}
}

// Wait gives a channel that is closed at the next Signal. Take it under the lock
// that guards the state, and wait for it without.
func (c *Change) Wait() <-chan struct{} {
	if c.next == nil {
		c.next = make(chan struct{})
	}
	return c.next
}

// Signal wakes all who wait.
func (c *Change) Signal() {
	if c.next != nil {
		close(c.next)
		c.next = nil
	}
}
