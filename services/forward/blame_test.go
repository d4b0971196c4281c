package forward

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// TestEndIsTold writes a line with the call's fingerprint where its server ended under it,
// before or after an event, and none where only the connection broke.
func TestEndIsTold(t *testing.T) {
	for _, one := range []struct {
		name   string
		route  string
		first  reply
		fields []string
	}{
		{"before the head", "once", reply{err: lost.err, ended: true}, []string{`"events":0`, `"fresh":true`}},
		{"in a whole answer", "once", reply{body: "par", broken: errReset, ended: true}, []string{`"events":0`, `"fresh":true`}},
		{"after an event", "stream", reply{body: "id: 1\n\n", broken: errReset, ended: true}, []string{`"events":1`, `"fresh":true`}},
		{"only the connection", "stream", reply{body: "id: 1\n\n", broken: errReset}, nil},
	} {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var out bytes.Buffer
				f := newForwarder(t, &sender{replies: []reply{one.first}}, &out)
				_, _, err := serve(context.Background(), f, one.route)
				is.True(err != nil)
				line, _, _ := strings.Cut(out.String(), "\n")
				is.Equal(strings.Contains(line, "backend server ended under a call"), one.fields != nil)
				for _, want := range append(one.fields, `"request":"1"`) {
					is.True(strings.Contains(line, want))
				}
			})
		})
	}
}
