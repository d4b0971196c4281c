package forward

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// continuingSender is a fake whose servers send the events of one stream: the first sends first, the others the
// events behind the one that a send names.
type continuingSender struct {
	sender
	first  reply
	events []string
	// second, unless empty, is what the second server sends.
	second reply
	// delimited has the others end their responses with the connection.
	delimited bool
}

// Send implements runworks.Sender.
func (s *continuingSender) Send(ctx context.Context, send *runworks.Send) (*runworks.ServerReply, error) {
	next := s.first
	switch {
	case len(s.sends) == 1 && s.second.body != "":
		next = s.second
	case len(s.sends) > 0:
		next = reply{body: strings.Join(s.after(send.LastEventID), ""), closeDelimited: s.delimited}
	}
	s.replies = append(s.replies, next)
	return s.sender.Send(ctx, send)
}

// after returns the events behind the one with an ID; all if it is empty.
func (s *continuingSender) after(id string) []string {
	for i, event := range s.events {
		if id != "" && strings.Contains(event, "id: "+id) {
			return s.events[i+1:]
		}
	}
	return s.events
}

// TestStreamCutAtEachByte guards against events that a caller gets twice, in part or not at all, where a server's part ends at
// any byte of an event, with any ends of lines.
func TestStreamCutAtEachByte(t *testing.T) {
	forms := map[string]string{
		"LF":             "id: %d\ndata: a\n\n",
		"CR LF":          "id: %d\r\ndata: a\r\n\r\n",
		"CR":             "id: %d\rdata: a\r\r",
		"ID behind data": "data: a\nid: %d\n\n",
		"versions":       "x-weight-versions: 3\nid: %d\ndata: a\n\n",
	}
	cuts := map[string]func(body string) reply{
		"reset":  func(body string) reply { return reply{body: body, broken: errReset} },
		"closed": delimited,
		"closed, and the server exits": func(body string) reply {
			return reply{body: body, closeDelimited: true, broken: errServerRestarted}
		},
		"closed, not confirmed": func(body string) reply {
			return reply{body: body, closeDelimited: true, broken: runworks.ErrUnconfirmed}
		},
	}
	for form, text := range forms {
		var events []string
		for n := range 4 {
			events = append(events, fmt.Sprintf(text, n+1))
		}
		whole, before := strings.Join(events, ""), len(events[0])+len(events[1])
		for kind, cut := range cuts {
			for _, byDefault := range []bool{true, false} {
				for _, restDelimited := range []bool{true, false} {
					for at := before; at <= len(whole)-len(events[3]); at++ {
						t.Run(fmt.Sprintf("%s/%s/%t %t/%d", form, kind, byDefault, restDelimited, at-before), func(t *testing.T) {
							synctest.Test(t, func(t *testing.T) {
								is := is.New(t)
								s := &continuingSender{first: cut(whole[:at]), events: events, delimited: restDelimited}
								f := newForwarder(t, &s.sender, io.Discard)
								f.Sender = s
								if !byDefault {
									f.CompleteAtClose = []string{"app"}
								}
								_, body, err := serve(t.Context(), f, "resumable")
								passed := whole
								if err != nil {
									is.True(restDelimited)
									passed = strings.Join(events[:strings.Count(body, "data")], "")
								}
								is.Equal(body, passed)
								is.True(idle(f))
							})
						})
					}
				}
			}
		}
	}
}

// TestEventWithoutItsLastByteIsSentAgain guards against an event that is missing: it arrived without the last byte of its end,
// was dropped, and the stream went on behind it.
func TestEventWithoutItsLastByteIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		events := make([]string, 4)
		for n := range events {
			events[n] = fmt.Sprintf("id: %d\r\ndata: a\r\n\r\n", n+1)
		}
		whole := strings.Join(events, "")
		s := &continuingSender{first: reply{body: events[0] + "id", broken: errReset}, events: events}
		f := newForwarder(t, &s.sender, io.Discard)
		f.Sender, f.CompleteAtClose = s, []string{"app"}
		setMaxAttempts(f, 4)
		for f.Budgets.HasRest("app") {
			is.True(f.Budgets.TakeRest("app"))
		}
		s.second = delimited(strings.TrimSuffix(strings.TrimPrefix(whole, events[0]), "\n"+events[3]))
		_, body, err := serve(t.Context(), f, "resumable")
		is.NoErr(err)
		is.Equal(body, whole)
		is.True(idle(f))
	})
}
