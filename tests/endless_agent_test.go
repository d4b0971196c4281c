package tests

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/standin"
)

const (
	// agentMemoryMB is four times what an agent may keep, 64 MB of ended responses and 4 MB for each running call:
	// slices grow by a third, and the collector runs at twice what is in use.
	agentMemoryMB = 4 * (64 + 4*endlessCalls)
	// leavingCalls is the number of calls whose callers leave, one after another in each of endlessCalls, and
	// readBeforeLeaving how much of a response they read: more than an agent keeps of one.
	leavingCalls      = 200
	readBeforeLeaving = 5 << 20
)

// newEndlessAgentSite starts a plain service whose responses have no end, a sound one, and an entry.
func newEndlessAgentSite(t *testing.T) *site {
	t.Helper()
	servers := []serverSpec{{name: "one", slots: 8}, {name: "app-1", plain: true, slots: endlessCalls}}
	s := newSite(t, servers, []string{"entry-1"})
	s.backends["app-1"] = startProcess(t, "endless", "standin", "routed", "--instance", "endless")
	(&platformSite{site: s}).setFaults(s.backends["app-1"], standin.RoutedFaults{Endless: standin.EndlessBody, EndlessAnswers: 1 << 20})
	s.apply(servers)
	s.waitFor("the agent has the new address", func() bool {
		n, _ := s.endlessCall("")
		return n == readBeforeLeaving
	})
	return s
}

// endlessCall makes a call of the endless service, reads up to readBeforeLeaving of its response, and leaves. It
// returns how much there was, and the status, 0 if there was no response.
func (s *site) endlessCall(key string) (n int64, status int) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.entries["entry-1"].address("callers")+"/services/app/1", strings.NewReader("x"))
	if err != nil {
		s.t.Error(err)
		return 0, 0
	}
	req.Header.Set("Authorization", "Bearer site-key")
	req.Header.Set(standin.HeaderRoutedID, "call")
	if key != "" {
		req.Header.Set(runworks.HeaderIdempotencyKey, key)
		req.Header.Set(runworks.HeaderKind, "once")
	}
	transport := &http.Transport{DisableKeepAlives: true}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = res.Body.Close() }()
	n, _ = io.CopyN(io.Discard, res.Body, readBeforeLeaving) // it fails at the end of a response
	return n, res.StatusCode
}

// soundCompletions makes calls of the other service until ctx is done and returns an error if one is not
// answered.
func (s *site) soundCompletions(ctx context.Context) (n int, lost error) {
	for ; ctx.Err() == nil; n++ {
		c := &completionCall{Entry: s.entries["entry-1"].address("callers"), Key: "site-key", Model: "site-model", Prompt: prompt(n), MaxTokens: 10}
		lost = errors.Join(lost, c.check(context.Background(), http.DefaultClient))
	}
	return n, lost
}

// TestEndlessResponsesEndAgent guards against an agent or an entry that keeps responses without end in memory
// until it is killed, also those whose callers have left.
func TestEndlessResponsesEndAgent(t *testing.T) {
	is := is.New(t)
	s := newEndlessAgentSite(t)
	ctx, cancel := context.WithCancel(context.Background())
	var sound, work sync.WaitGroup
	sound.Go(func() {
		n, lost := s.soundCompletions(ctx)
		is.True(n > 0)
		is.NoErr(lost)
	})
	for range endlessCalls {
		work.Go(func() {
			for range leavingCalls / endlessCalls {
				s.endlessCall("")
			}
		})
	}
	work.Wait()
	cancel()
	sound.Wait()
	for _, p := range []*process{s.agents["app-1"], s.entries["entry-1"]} {
		peak := peakMemoryMB(t, p.cmd.Process.Pid)
		t.Logf("%s: peak of %d MB", p.name, peak)
		is.True(peak < agentMemoryMB)
	}
}

// TestJoinedCallerOfEndlessResponse guards against an entry that asks its agent without a pause for the beginning of
// a response that is no longer kept, until the time limit of the caller that joined it.
func TestJoinedCallerOfEndlessResponse(t *testing.T) {
	is := is.New(t)
	s := newEndlessAgentSite(t)
	key := uuid.Must(uuid.NewV7()).String()
	n, status := s.endlessCall(key)
	is.Equal(n, int64(readBeforeLeaving))
	is.Equal(status, http.StatusOK)
	began := time.Now()
	_, status = s.endlessCall(key)
	is.True(status >= http.StatusBadRequest) // it has a response, which is no part of the other one
	is.True(time.Since(began) < 2*time.Second)
}
