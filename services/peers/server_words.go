package peers

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/pause"
)

// wordsPause is the least time between two tellings of what backend servers say of
// themselves: of a service with hundreds of servers that all name a limit, each entry tells
// some twenty times a second at most in place of once for each.
const wordsPause = 50 * time.Millisecond

// ServerNotices tells what backend servers say of themselves.
type ServerNotices struct {
	// From names the entry that tells.
	From string                  `json:"from"`
	List []runworks.ServerNotice `json:"list"`
}

// wordNews is what is to be told of a backend server, as of a time.
type wordNews struct {
	notice runworks.ServerNotice
	at     time.Time
}

// SendServerNotice tells all entries that are connected at once, or a moment after the last
// telling: until they know a word they send as before.
func (x *Exchange) SendServerNotice(notice runworks.ServerNotice) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.wordNews == nil {
		x.wordNews = make(map[string]wordNews)
	}
	now := time.Now()
	older := x.wordNews[notice.Server]
	x.wordNews[notice.Server] = wordNews{notice: notice.Merge(older.notice.AgedBy(now.Sub(older.at))), at: now}
	if !x.tellingWords {
		ctx := x.ctxLocked()
		x.tellingWords = x.work.Go(func() {
			for {
				list := x.takeWordNews()
				if len(list) == 0 {
					return
				}
				x.notifyAll(MethodServerNotices, &ServerNotices{From: x.Self.Name, List: list})
				pause.For(ctx, wordsPause)
			}
		})
	}
}

// takeWordNews gives what is to be told of the backend servers; if that is nothing, the
// telling ends.
func (x *Exchange) takeWordNews() []runworks.ServerNotice {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []runworks.ServerNotice
	for _, news := range x.wordNews {
		out = append(out, news.notice.AgedBy(time.Since(news.at)))
	}
	slices.SortFunc(out, func(a, b runworks.ServerNotice) int { return strings.Compare(a.Server, b.Server) })
	x.wordNews = nil
	x.tellingWords = len(out) > 0
	return out
}

// takeServerWords takes what another entry told.
func (x *hearing) takeServerWords(params json.RawMessage) error {
	var w ServerNotices
	if err := json.Unmarshal(params, &w); err != nil {
		x.Logger.Warn("what backend servers say of themselves can't be read", "error", err.Error())
		return errorx.Decorate(err, "decode the servers' words")
	}
	x.hearServerWords(w.From, w.List)
	return nil
}

func (x *Exchange) hearServerWords(from string, list []runworks.ServerNotice) {
	if x.OnServerNotices != nil && len(list) > 0 {
		x.OnServerNotices(from, list)
	}
}
