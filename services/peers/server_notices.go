package peers

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/runworks/runworks"
)

// noticeInterval is the least time between two sends of server notices. With hundreds of servers
// that all state a rate limit, an entry sends at most 20 messages per second rather than one per
// server.
const noticeInterval = 50 * time.Millisecond

// ServerNotices is the message with what backend servers reported to the sending entry.
type ServerNotices struct {
	// From is the name of the sending entry.
	From string                  `json:"from"`
	List []runworks.ServerNotice `json:"list"`
}

// pendingNotice is a notice to send, as of a time.
type pendingNotice struct {
	notice runworks.ServerNotice
	at     time.Time
}

// SendServerNotice sends a notice to all connected entries, immediately or noticeInterval after
// the last message. Until it arrives they keep sending to the server as before. Notices for one
// server that wait to be sent are merged.
func (x *Exchange) SendServerNotice(notice runworks.ServerNotice) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.pendingNotices == nil {
		x.pendingNotices = make(map[string]pendingNotice)
	}
	now := time.Now()
	older := x.pendingNotices[notice.Server]
	x.pendingNotices[notice.Server] = pendingNotice{
		notice: notice.Merge(older.notice.AgedBy(now.Sub(older.at))), at: now,
	}
	if !x.sendingNotices {
		x.sendingNotices = x.startBatchesLocked(MethodServerNotices, noticeInterval, x.takePendingNotices)
	}
}

// takePendingNotices returns and clears the notices to send as a message; nil if there are none.
func (x *Exchange) takePendingNotices() any {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []runworks.ServerNotice
	for _, pending := range x.pendingNotices {
		out = append(out, pending.notice.AgedBy(time.Since(pending.at)))
	}
	slices.SortFunc(out, func(a, b runworks.ServerNotice) int { return strings.Compare(a.Server, b.Server) })
	x.pendingNotices = nil
	x.sendingNotices = len(out) > 0
	if len(out) == 0 {
		return nil
	}
	return &ServerNotices{From: x.Self.Name, List: out}
}

// handleServerNotices processes the server notices of another entry.
func (x *inbound) handleServerNotices(params json.RawMessage) error {
	var w ServerNotices
	if err := x.decodeMessage(params, "server notices", &w); err != nil {
		return err
	}
	x.receiveServerNotices(w.From, w.List)
	return nil
}

func (x *Exchange) receiveServerNotices(from string, list []runworks.ServerNotice) {
	if x.OnServerNotices != nil && len(list) > 0 {
		x.OnServerNotices(from, list)
	}
}
