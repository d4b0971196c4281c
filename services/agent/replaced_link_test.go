package agent

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/runworks/runworks/services/control"
)

// TestReplacedConnectionHoldsNoKey guards against a key that is held until it expires, as its claim came on a connection of
// an entry that a new one has replaced, before or after that.
func TestReplacedConnectionHoldsNoKey(t *testing.T) {
	const claim = `{"service":"llm","customer":"c","key":%q,"digest":"d","id":%q}`
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint("late ", late), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a := newKeyOwner(t)
				defer a.Close()
				key := keyNow()
				old, newer := newTestLink(t, a), newTestLink(t, a)
				verdict := func(l *link, id string) control.KeyVerdict {
					reply, err := l.handleKey(control.MethodKeyClaim, json.RawMessage(fmt.Sprintf(claim, key, id)))
					is.NoErr(err)
					return reply.(control.KeyReply).Verdict
				}
				hello := func(l *link) {
					_, err := l.handleHello(json.RawMessage(`{"incarnation":"entry"}`))
					is.NoErr(err)
				}
				hello(old)
				if !late {
					is.Equal(verdict(old, "1"), control.KeyFresh)
				}
				hello(newer)
				if late {
					is.Equal(verdict(old, "1"), control.KeyNotOwner)
				}
				a.removeLink(old)
				is.Equal(verdict(newer, "2"), control.KeyFresh)
				a.removeLink(old)
				is.Equal(verdict(newer, "3"), control.KeyWaiting) // the end of the old one frees no newer claim
			})
		})
	}
}

// newTestLink returns a control connection whose entry sends nothing.
func newTestLink(t *testing.T, a *Agent) *link {
	t.Helper()
	here, there := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, there) }()
	l := &link{agent: a, conn: jsonrpc2.NewConn(t.Context(), jsonrpc2.NewPlainObjectStream(here), nil)}
	t.Cleanup(func() {
		_ = there.Close()
		_ = l.conn.Close()
	})
	return l
}
