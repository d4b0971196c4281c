// Package notify wakes goroutines that wait for a change of state.
package notify

// Change notifies any number of goroutines of the next change of a state. The zero value is
// ready to use. It must be guarded by the lock that guards the state.
type Change struct {
	next chan struct{}
}

// Wait returns a channel that is closed at the next Signal. It must be called with the lock
// held; the lock must be released before receiving from the channel.
func (c *Change) Wait() <-chan struct{} {
	if c.next == nil {
		c.next = make(chan struct{})
	}
	return c.next
}

// Signal wakes all waiting goroutines. It must be called with the lock held.
func (c *Change) Signal() {
	if c.next != nil {
		close(c.next)
		c.next = nil
	}
}
