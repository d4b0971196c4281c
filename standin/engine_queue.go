package standin

import (
	"container/heap"
	"context"
	"time"
)

// acquire waits for a slot. Lower ranks are served first, and equal ranks in order of arrival.
func (e *Engine) acquire(ctx context.Context, rank int) error {
	e.mu.Lock()
	if e.running < e.Slots {
		e.running++
		e.recordLoadLocked()
		e.mu.Unlock()
		return nil
	}
	e.seq++
	w := &waiter{rank: rank, seq: e.seq, ready: make(chan struct{})}
	heap.Push(&e.waiting, w)
	e.recordLoadLocked()
	e.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		e.mu.Lock()
		defer e.mu.Unlock()
		if w.granted {
			e.releaseLocked()
		}
		w.canceled = true
		return ctx.Err()
	}
}

// release passes the slot to the first waiter, or frees it.
func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseLocked()
}

func (e *Engine) releaseLocked() {
	defer e.recordLoadLocked()
	for e.waiting.Len() > 0 {
		next, _ := heap.Pop(&e.waiting).(*waiter)
		if next.canceled {
			continue
		}
		next.granted = true
		close(next.ready)
		return
	}
	e.running--
}

// maxLoadSamples bounds the load history that Report looks up.
const maxLoadSamples = 1000

func (e *Engine) recordLoadLocked() {
	load := Load{Name: e.Name, Running: e.running, Waiting: e.waiting.Len()}
	e.loads = append(e.loads, loadSample{at: time.Now(), load: load})
	if len(e.loads) > maxLoadSamples {
		e.loads = e.loads[1:]
	}
}

// waiter is a call that waits for a slot. Its ready channel is closed when it gets one.
type waiter struct {
	rank     int
	seq      int
	ready    chan struct{}
	granted  bool
	canceled bool
}

// waiters is a heap ordered by rank, then by arrival.
type waiters []*waiter

func (h waiters) Len() int { return len(h) }

func (h waiters) Less(i, j int) bool {
	if h[i].rank != h[j].rank {
		return h[i].rank < h[j].rank
	}
	return h[i].seq < h[j].seq
}

func (h waiters) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *waiters) Push(x any) {
	w, _ := x.(*waiter)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiters) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	return w
}
