package peers

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/standin/memnet"
)

func (e *entry) streamState() (any, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.knownOrigins == nil {
		return nil, errors.New("no such state")
	}
	return StreamState{Origins: e.knownOrigins}, nil
}

// TestRequestStreams guards against an entry that takes what it knows of streams for complete though another one has not
// answered, and against one that waits for an entry which can't answer.
func TestRequestStreams(t *testing.T) {
	inNetwork(t, "key-of-the-fleet", func(is *is.I, network *memnet.Network, a, b *entry) {
		request := func() (int, bool) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return a.RequestStreams(ctx)
		}
		answered, missing := request()
		is.Equal(answered, 0) // of an older version
		is.True(!missing)

		b.mu.Lock()
		b.knownOrigins = []runworks.StreamOrigin{{Stream: "1", Service: "llm", Version: "v2", LeftMs: 1000}}
		b.mu.Unlock()
		answered, missing = request()
		is.Equal(answered, 1)
		is.True(!missing)
		a.mu.Lock()
		is.Equal(a.origins, b.knownOrigins)
		a.mu.Unlock()

		network.Silence(func(string, string) bool { return true })
		answered, missing = request()
		is.Equal(answered, 0)
		is.True(missing)
	})
}
