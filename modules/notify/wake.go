package notify

import "sync"

// Wake wakes one goroutine. A signal without a waiting goroutine ends the next wait; several of
// them count as one. The zero value is ready to use, and its methods may be called concurrently.
type Wake struct {
	once sync.Once
	ch   chan struct{}
}

// C returns the channel that receives the signals.
func (w *Wake) C() <-chan struct{} { return w.channel() }

// Signal ends the current or the next wait; it never blocks.
func (w *Wake) Signal() {
	select {
	case w.channel() <- struct{}{}:
	default:
	}
}

func (w *Wake) channel() chan struct{} {
	w.once.Do(func() { w.ch = make(chan struct{}, 1) })
	return w.ch
}
