package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestEndShownByBody guards against a whole response that is lost although its body shows its end, and against one that is
// not counted as proven.
func TestEndShownByBody(t *testing.T) {
	for _, name := range []string{"once", "safe", "stream", "resumable"} {
		for _, shown := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var out bytes.Buffer
				s := &sender{replies: []reply{{body: `{"a":1}`, contentType: "application/json", closeDelimited: true, shown: shown}}}
				f := newForwarder(t, s, &out)
				_, data, err := serve(context.Background(), f, name)
				is.Equal(err == nil, shown)
				is.Equal(strings.Contains(out.String(), `"end_proof":"body"`), shown)
				if shown {
					is.Equal(data, `{"a":1}`)
					is.Equal(len(s.sends), 1)
				}
			})
		}
	}
}

// TestCallerThatLeftIsNoBrokenEnd guards against an end that is counted as broken though its caller did not wait for it.
func TestCallerThatLeftIsNoBrokenEnd(t *testing.T) {
	for _, name := range []string{"once", "stream"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(time.Second, cancel)
			f := newCompletingForwarder(t, &sender{replies: []reply{{body: event(1), closeDelimited: true, pause: 2 * time.Second}}}, io.Discard)
			_, _, err := serve(ctx, f, name)
			is.True(err != nil)
			is.Equal(counted(t, f), map[string]int{})
		})
	}
}

// TestUnprovenEndIsNotComplete guards against responses that look complete though only the end of their connection ended
// them, with nothing to show that they are whole, and against streams that are lost though a server sends their rest.
func TestUnprovenEndIsNotComplete(t *testing.T) {
	for _, c := range []struct {
		route   string
		servers int
		replies []reply
		body    string
		sends   int
		result  string
	}{
		{"once", 3, []reply{delimited("half")}, "", 1, endBroken},
		{"safe", 3, []reply{delimited("half"), good}, good.body, 2, ""},
		{"safe", 3, []reply{delimited("half")}, "", 2, endBroken},
		{"stream", 3, []reply{delimited(event(1))}, event(1), 1, endBroken},
		{"resumable", 3, []reply{delimited(event(1)), {}}, event(1), 2, endProven},
		{"resumable", 3, []reply{delimited(event(1)), {body: event(2)}}, event(1) + event(2), 2, ""},
		{"resumable", 3, []reply{delimited(event(1)), delimited(event(2)), {}}, event(1) + event(2), 3, endProven},
		{"resumable", 3, []reply{delimited(event(1)), lost}, event(1), 3, endBroken},
		{"resumable", 3, []reply{delimited(event(1)), delimited("")}, event(1), 3, endBroken},
		{"resumable", 3, []reply{delimited(event(1)), delimited(""), {}}, event(1), 3, endProven},
		{"resumable", 1, []reply{delimited(event(1)), delimited("")}, event(1), 2, endBroken},
		{"resumable", 1, []reply{delimited(event(1)), {hang: true}}, event(1), 2, endBroken},
	} {
		t.Run(fmt.Sprint(c.route, " ", c.servers, " ", len(c.replies)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &sender{replies: c.replies}
				f := newForwarder(t, s, io.Discard)
				f.Dispatcher.SetServers(threeServers("s")[:c.servers])
				f.CompleteAtClose = []string{"other"}
				_, body, err := serve(t.Context(), f, c.route)
				is.Equal(err == nil, c.result != endBroken)
				is.Equal(body, c.body)
				is.Equal(len(s.sends), c.sends)
				want := map[string]int{}
				if c.result != "" {
					want[c.result] = 1
				}
				is.Equal(counted(t, f), want)
				is.Equal(len(s.confirmTimes), 0) // what the server says of itself proves nothing
				is.True(idle(f))
			})
		})
	}
}
