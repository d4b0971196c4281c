// Package group runs goroutines that a component waits for when it is closed.
package group

import (
	"sync"

	"github.com/sourcegraph/conc"
)

// Group runs goroutines until it is closed. The zero value is ready to use. Unlike with
// sync.WaitGroup, Go may be called while Close waits.
type Group struct {
	mu     sync.Mutex
	closed bool
	work   conc.WaitGroup
}

// Go runs f in a goroutine, or reports false if the group is closed.
func (g *Group) Go(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.work.Go(f)
	return true
}

// Close stops accepting goroutines and waits for those that run.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.work.Wait()
}
