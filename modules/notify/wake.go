package notify

import "sync"

// Wake ends the wait of one goroutine, or its next wait if it does not wait now. The zero value
// is ready; it takes a lock of its own.
type Wake struct {
	once sync.Once
	ch   chan struct{}
}

// C gives the channel to wait on.
func (w *Wake) C() <-chan struct{} { return w.channel() }

// Signal ends the wait.
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
