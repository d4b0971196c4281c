package peers

import (
	"context"
	"encoding/json"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/rpc"
)

// Suspects tells of requests under which backend servers ended.
type Suspects struct {
	// From names the entry that tells.
	From string             `json:"from"`
	List []runworks.Suspect `json:"list"`
}

// TellSuspects tells all entries that are connected at once: each server that the request
// meets before they know it ends as well. An entry that can't be told is greeted with all
// that is known once it is reached again.
func (x *Exchange) TellSuspects(list ...runworks.Suspect) {
	message := &Suspects{From: x.Self.Name, List: list}
	x.work.Go(func() {
		// A greeting on its way may not tell of them, and its connection is not known yet.
		x.telling.Lock()
		near, far := x.conns()
		x.telling.Unlock()
		for _, conn := range append(near, far...) {
			x.work.Go(func() { x.notify(conn, message) })
		}
	})
}

// notify sends suspects on one connection.
func (x *Exchange) notify(conn *rpc.Conn, message *Suspects) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if err := conn.Notify(ctx, MethodSuspects, message); err != nil {
		// The link's own loop dials again and logs the loss.
		_ = conn.Close()
	}
}

// takeSuspects takes what another entry told.
func (x *hearing) takeSuspects(params json.RawMessage) error {
	var s Suspects
	if err := json.Unmarshal(params, &s); err != nil {
		x.Logger.Warn("suspects of an entry can't be read", "error", err.Error())
		return errorx.Decorate(err, "decode the suspects")
	}
	x.hearSuspects(s.From, s.List)
	return nil
}

func (x *Exchange) hearSuspects(from string, list []runworks.Suspect) {
	if x.OnSuspects != nil && len(list) > 0 {
		x.OnSuspects(from, list)
	}
}
