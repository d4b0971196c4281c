package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/route"
)

// loadSender is a fake whose servers send streams of events at common steps, ended by their connections, and empty rests.
type loadSender struct {
	framed bool
	began  time.Time
	mu     sync.Mutex
	rests  int
}

func (s *loadSender) Send(ctx context.Context, send *runworks.Send) (*runworks.ServerReply, error) {
	if err := send.BeforeSend(); err != nil {
		return nil, err
	}
	if send.LastEventID != "" {
		s.mu.Lock()
		s.rests++
		s.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		return &runworks.ServerReply{Reply: runworks.Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}, CloseDelimited: !s.framed, ShowsEnd: func() bool { return false }}, nil
	}
	return &runworks.ServerReply{Reply: runworks.Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(&stepReader{ctx: ctx, began: s.began})}, CloseDelimited: true, ShowsEnd: func() bool { return false }}, nil
}

// Responds implements runworks.Sender.
func (*loadSender) Responds(context.Context, runworks.Instance, string) bool { return true }

func (s *loadSender) WatchExit(context.Context, runworks.Instance, func()) {}

type stepReader struct {
	ctx   context.Context
	began time.Time
	n     int
}

func (r *stepReader) Read(p []byte) (int, error) {
	if r.n == 40 {
		return 0, io.EOF
	}
	step := 50 * time.Millisecond
	time.Sleep(step - time.Since(r.began)%step)
	r.n++
	return copy(p, fmt.Sprintf("id: %d\ndata: a\n\n", r.n)), nil
}

// TestRestsRefuseNoResumableStreams guards against resumable streams that are refused on all four tries as requests for
// rests of others take their place.
func TestRestsRefuseNoResumableStreams(t *testing.T) {
	for _, budget := range []*Budgets{{}, {Ratio: 0.1, Slack: 10}, {Ratio: 1, Slack: 100}} {
		for form := range 4 {
			framed, completed := form%2 == 0, form < 2
			sum, lower, rests := 0, 0, 0
			for run := range 5 {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := &loadSender{framed: framed, began: time.Now()}
					f := newForwarder(t, &sender{}, io.Discard)
					f.Sender = s
					if completed {
						f.CompleteAtClose = []string{"app"}
					}
					f.Budgets = &Budgets{Ratio: budget.Ratio, Slack: budget.Slack}
					routing := testRouting()
					for i := range routing.Routes {
						if routing.Routes[i].Name == "stream" {
							routing.Routes[i].Rank = 1
						}
						routing.Routes[i].Timeout = 30 * time.Second
					}
					f.Table.Store(route.NewTable(routing))
					servers := threeServers("s")[:2]
					servers[0].Slots, servers[1].Slots = 8, 8
					f.Dispatcher.SetServers(servers)
					time.Sleep(time.Duration(run) * 3 * time.Millisecond)
					var calls sync.WaitGroup
					var mu sync.Mutex
					refused := map[string]int{}
					for n := range 96 {
						name := []string{"resumable", "stream"}[n%2]
						calls.Go(func() {
							for try := range 4 {
								in := &runworks.Inbound{ID: runworks.RequestID(fmt.Sprint(n, "-", try)), Method: http.MethodPost, Host: "h", Path: "/" + name + "/x", Target: "/" + name + "/x", Received: time.Now()}
								res, err := f.Serve(t.Context(), in)
								if err != nil {
									continue
								}
								_, _ = io.ReadAll(res.Body)
								_ = res.Body.Close()
								return
							}
							mu.Lock()
							refused[name]++
							mu.Unlock()
						})
						time.Sleep(60 * time.Millisecond)
					}
					calls.Wait()
					sum += refused["resumable"]
					lower += refused["stream"]
					rests += s.rests
					is.True(idle(f))
				})
			}
			t.Logf("ratio %v slack %v framed rests %v, completed at a close %v: of 240 resumable %d refused, of 240 lower %d refused, %d requests for rests", budget.Ratio, budget.Slack, framed, completed, sum, lower, rests)
			if sum > 0 {
				t.Fail()
			}
		}
	}
}
