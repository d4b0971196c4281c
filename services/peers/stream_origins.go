package peers

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/runworks/runworks"
)

// originInterval is the least time between two messages with the origins of streams. It bounds their
// number for an entry that begins hundreds of streams per second, and is far below the time in which a
// caller can resume a stream.
const originInterval = 10 * time.Millisecond

// StreamOrigins is the message with streams that began at the sending entry.
type StreamOrigins struct {
	// From is the name of the sending entry.
	From string                  `json:"from"`
	List []runworks.StreamOrigin `json:"list"`
	// Recorded holds versions that the sending entry has recorded.
	Recorded []runworks.StreamVersion `json:"recorded,omitempty"`
}

// StreamState is an entry's state of SubjectStreams: what it knows of streams and the versions that may have begun them.
type StreamState struct {
	Origins  []runworks.StreamOrigin  `json:"origins,omitempty"`
	Versions []runworks.StreamVersion `json:"versions,omitempty"`
}

// RequestStreams requests from each connected entry what it knows of streams, and processes it like that of a handshake. It
// returns how many answered, and whether one that is connected did not in time.
func (x *Exchange) RequestStreams(ctx context.Context) (answered int, missing bool) {
	var wg conc.WaitGroup
	var mu sync.Mutex
	for _, name := range x.liveNames() {
		wg.Go(func() {
			var s StreamState
			err := x.RequestState(ctx, name, SubjectStreams, &s)
			if err == nil {
				x.receiveStreamVersions(s.Versions, false)
				x.receiveStreamOrigins(s.Origins)
			} else {
				x.Logger.Warn("request for the streams of another entry failed", "name", name, "error", err.Error())
			}
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				answered++
			}
			missing = missing || errors.Is(err, context.DeadlineExceeded)
		})
	}
	wg.Wait()
	return answered, missing
}

// liveNames returns the names of the other entries that have not timed out.
func (x *Exchange) liveNames() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []string
	for _, one := range x.peers {
		out = append(out, one.name)
	}
	return out
}

// SendStreamOrigins sends the origins of streams to all connected entries, immediately or
// originInterval after the last message. Their callers may resume them at any entry.
func (x *Exchange) SendStreamOrigins(list []runworks.StreamOrigin) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.pendingOrigins = append(x.pendingOrigins, list...)
	if !x.sendingOrigins {
		x.sendingOrigins = x.startBatchesLocked(MethodStreamOrigins, originInterval, x.takePendingOrigins)
	}
}

// SendRecordedVersions sends versions that this entry has recorded to all connected entries.
func (x *Exchange) SendRecordedVersions(list []runworks.StreamVersion) {
	x.notifyAll(MethodStreamOrigins, &StreamOrigins{From: x.Self.Name, Recorded: list})
}

// takePendingOrigins returns and clears the origins to send as a message; nil if there are none.
func (x *Exchange) takePendingOrigins() any {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := x.pendingOrigins
	x.pendingOrigins, x.sendingOrigins = nil, len(out) > 0
	if len(out) == 0 {
		return nil
	}
	return &StreamOrigins{From: x.Self.Name, List: out}
}

// handleStreamOrigins processes the origins of another entry's streams.
func (x *inbound) handleStreamOrigins(params json.RawMessage) error {
	var m StreamOrigins
	if err := x.decodeMessage(params, "origins of streams", &m); err != nil {
		return err
	}
	x.receiveStreamVersions(m.Recorded, true)
	x.receiveStreamOrigins(m.List)
	return nil
}

func (x *Exchange) receiveStreamVersions(list []runworks.StreamVersion, recorded bool) {
	if x.OnStreamVersions != nil && len(list) > 0 {
		x.OnStreamVersions(list, recorded)
	}
}

func (x *Exchange) receiveStreamOrigins(list []runworks.StreamOrigin) {
	if x.OnStreamOrigins != nil && len(list) > 0 {
		x.OnStreamOrigins(list)
	}
}
