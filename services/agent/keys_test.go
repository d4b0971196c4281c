package agent

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/control"
)

// TestKeyReleases guards against a claim that got no answer and still holds its key, also if its withdrawal arrives first,
// and against an entry of the former version, whose releases have no field for it, whose key is not spent.
func TestKeyReleases(t *testing.T) {
	const claim = `{"service":"llm","customer":"c","key":%q,"digest":"d","id":"1"}`
	const another = `{"service":"llm","customer":"c","key":%q,"digest":"d","id":"2"}`
	const withdrawal = `{"customer":"c","key":%q,"id":"1","withdraw":true}`
	const release = `{"customer":"c","key":%q,"id":"1"}`
	type message struct{ method, params string }
	tests := []struct {
		name     string
		messages []message
		want     control.KeyVerdict
	}{
		{"claimed", []message{{control.MethodKeyClaim, claim}}, control.KeyWaiting},
		{"withdrawn", []message{{control.MethodKeyClaim, claim}, {control.MethodKeyRelease, withdrawal}}, control.KeyFresh},
		{"withdrawn before it arrived", []message{{control.MethodKeyRelease, withdrawal}, {control.MethodKeyClaim, claim}}, control.KeyFresh},
		{"released", []message{{control.MethodKeyClaim, claim}, {control.MethodKeyRelease, release}}, control.KeySpent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a := newKeyOwner(t)
				defer a.Close()
				key := keyNow()
				l := &link{agent: a, source: "x"}
				for _, m := range test.messages {
					_, err := l.handleKey(m.method, json.RawMessage(fmt.Sprintf(m.params, key)))
					is.NoErr(err)
				}
				reply, err := l.handleKey(control.MethodKeyClaim, json.RawMessage(fmt.Sprintf(another, key)))
				is.NoErr(err)
				is.Equal(reply.(control.KeyReply).Verdict, test.want)
			})
		})
	}
}

// keyNow returns a UUIDv7 of the current time, which may be virtual.
func keyNow() string {
	id := uuid.UUID{6: 0x70, 8: 0x80}
	ms := time.Now().UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id.String()
}

// newKeyOwner returns the agent of the only server of a service, which owns its keys and is old enough to know them.
func newKeyOwner(t *testing.T) *Agent {
	t.Helper()
	a, _ := newTestAgent(t, &fakeBackend{})
	a.Config.ApplyDocument(1, &runworks.Config{
		Services: []runworks.Service{{Name: "llm", Kind: runworks.KindEngine, Models: []string{"m"}, BackendServers: []runworks.BackendServer{
			{Name: "e1", Hall: "a", Address: "http://e1", Slots: 2},
		}}},
		Tiers: []runworks.Tier{{Name: "urgent", Timeout: time.Minute}},
		Rules: []runworks.Rule{{Services: []string{"llm"}, Tier: "urgent"}},
	})
	time.Sleep(time.Minute)
	return a
}
