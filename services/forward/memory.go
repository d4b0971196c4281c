package forward

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
)

const (
	// smallReservation is the largest reservation in bytes that may use the whole limit.
	smallReservation = 64 << 10
	// smallShare divides the limit: that part is kept for small reservations, so that some long
	// bodies do not keep the many short calls out.
	smallShare = 4
)

// Memory bounds the memory that an entry holds for its calls beyond their small buffers: request
// bodies, which are kept until the call ends as it may be sent again, whole answers and long events.
// Set Limit before use.
type Memory struct {
	// Limit is the most memory in bytes; 0 means no limit.
	Limit int64
	held  atomic.Int64
}

// Reserve reserves n bytes and reports whether the limit allows it.
func (m *Memory) Reserve(n int64) bool {
	limit := m.Limit
	if n > smallReservation {
		limit -= limit / smallShare
	}
	if held := m.held.Add(n); limit > 0 && held > limit {
		m.held.Add(-n)
		return false
	}
	return true
}

// Release releases n reserved bytes.
func (m *Memory) Release(n int64) { m.held.Add(-n) }

// Held returns the reserved memory in bytes.
func (m *Memory) Held() int64 { return m.held.Load() }

// MemoryFailure returns the failure of a call whose body the limit of the memory does not allow. The
// call has not run. Its caller may return once some of the calls that hold the memory have ended,
// as after a burst.
func (f *Forwarder) MemoryFailure(in *runworks.Inbound) *runworks.Failure {
	metrics.Count(f.Metrics.Refused, metrics.Cause("memory"))
	wait := retryNoCapacity + rand.N(retryNoCapacitySpread)
	if in.Timeout > 0 {
		wait = min(wait, in.Timeout/retryTimeLeftDivisor)
	}
	return runworks.NotRun(errorx.Decorate(runworks.ErrMemory, "%d of %d bytes held", f.Memory.Held(), f.Memory.Limit), wait)
}

// wholeAnswerSize returns how much memory in bytes is reserved for a response that is read whole.
func wholeAnswerSize(h http.Header) int64 {
	n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64)
	if err != nil || n < 0 || n > maxBufferedBody {
		return maxBufferedBody
	}
	return n
}
