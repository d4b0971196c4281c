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

// limitsPause is the least time between two tellings of backend servers' limits: of a service
// with hundreds of servers that all name one, each entry tells some twenty times a second at
// most in place of once for each.
const limitsPause = 50 * time.Millisecond

// ServerLimits tells of the limits that backend servers name.
type ServerLimits struct {
	// From names the entry that tells.
	From string                 `json:"from"`
	List []runworks.ServerLimit `json:"list"`
}

// limitNews is what is to be told of a backend server's limit, and since when.
type limitNews struct {
	limit runworks.ServerLimit
	since time.Time
}

// TellServerLimit tells all entries that are connected at once, or a moment after the last
// telling: until they know a limit they send as before.
func (x *Exchange) TellServerLimit(limit runworks.ServerLimit) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.limitNews == nil {
		x.limitNews = make(map[string]limitNews)
	}
	x.limitNews[limit.Server] = limitNews{limit: limit, since: time.Now()}
	if !x.tellingLimits {
		ctx := x.ctxLocked()
		x.tellingLimits = x.work.Go(func() {
			for {
				list := x.takeLimitNews()
				if len(list) == 0 {
					return
				}
				x.notifyAll(MethodServerLimits, &ServerLimits{From: x.Self.Name, List: list})
				pause.For(ctx, limitsPause)
			}
		})
	}
}

// takeLimitNews gives what is to be told of the backend servers' limits; if that is nothing,
// the telling ends.
func (x *Exchange) takeLimitNews() []runworks.ServerLimit {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []runworks.ServerLimit
	for _, news := range x.limitNews {
		news.limit.AgeMs += time.Since(news.since).Milliseconds()
		out = append(out, news.limit)
	}
	slices.SortFunc(out, func(a, b runworks.ServerLimit) int { return strings.Compare(a.Server, b.Server) })
	x.limitNews = nil
	x.tellingLimits = len(out) > 0
	return out
}

// takeServerLimits takes what another entry told.
func (x *hearing) takeServerLimits(params json.RawMessage) error {
	var s ServerLimits
	if err := json.Unmarshal(params, &s); err != nil {
		x.Logger.Warn("limits of backend servers can't be read", "error", err.Error())
		return errorx.Decorate(err, "decode the servers' limits")
	}
	x.hearServerLimits(s.From, s.List)
	return nil
}

func (x *Exchange) hearServerLimits(from string, list []runworks.ServerLimit) {
	if x.OnServerLimits != nil && len(list) > 0 {
		x.OnServerLimits(from, list)
	}
}
