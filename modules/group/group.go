// Package group runs goroutines that a part waits for at its end.
package group

import (
	"sync"

	"github.com/sourcegraph/conc"
)

// Group runs goroutines until it is closed; the zero value is ready. Unlike a
// plain wait group it may be asked for more while it is being closed.
type Group struct {
	mu     sync.Mutex
	closed bool
	work   conc.WaitGroup
}

// Go runs f, or says that the group is closed.
func (g *Group) Go(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.work.Go(f)
	return true
}

// Close takes no more goroutines and waits for those that run.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.work.Wait()
}
