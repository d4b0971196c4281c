package peers

import (
	"encoding/json"
	"time"

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
