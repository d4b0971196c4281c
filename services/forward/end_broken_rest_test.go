package forward

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// The parts of a stream that is cut without a reset after its second event.
var (
	cutReply      = reply{body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", closeDelimited: true}
	emptyCutReply = reply{closeDelimited: true}
	restReply     = reply{body: "id: 3\ndata: c\n\n"}
)

// TestEmptyCutRestIsNoProof guards against a cut stream that looks complete because the response to the request for
// its rest was itself cut before its first event: that response has neither a length nor chunks either.
func TestEmptyCutRestIsNoProof(t *testing.T) {
	for _, first := range []reply{cutReply, {body: cutReply.body, broken: errReset}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			s := &sender{replies: []reply{first, emptyCutReply, restReply}}
			f := newForwarder(t, s, &out)
			_, data, err := serve(context.Background(), f, "resumable")
			is.True(err != nil || strings.Contains(data, "id: 3"))
		})
	}
}

// TestBrokenRestLosesNoWholeStream guards against a stream that would have counted as whole and is aborted, as the
// response to the request for its rest broke.
func TestBrokenRestLosesNoWholeStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		s := &sender{replies: []reply{cutReply, {broken: errReset}, {broken: errReset}}}
		_, data, err := serve(context.Background(), newCompletingForwarder(t, s, &out), "resumable")
		is.NoErr(err)
		is.Equal(data, cutReply.body)
	})
}

// TestRestHasOneSecond guards against the end of a whole stream that comes after its caller has left, as the server
// that was asked for the rest sends its head and then nothing.
func TestRestHasOneSecond(t *testing.T) {
	for _, silent := range []reply{{closeDelimited: true, pause: 4 * time.Second}, {pause: 4 * time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			s := &sender{replies: []reply{cutReply, silent}}
			began := time.Now()
			_, data, err := serve(context.Background(), newCompletingForwarder(t, s, &out), "resumable")
			is.NoErr(err)
			is.Equal(data, cutReply.body)
			is.True(time.Since(began) < minCallerTimeout)
		})
	}
}

// TestDeadlineWhileServerIsAskedIsNoProof guards against a response that counts as whole because the call's time ended while
// its server was asked.
func TestDeadlineWhileServerIsAskedIsNoProof(t *testing.T) {
	for _, route := range []string{"once", "stream"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			ctx, cancel := context.WithCancelCause(context.Background())
			s := &sender{replies: []reply{{body: "id: 1\ndata: a\n\n", closeDelimited: true, asked: func() { cancel(runworks.ErrTimeLimit) }}}}
			_, _, err := serve(ctx, newCompletingForwarder(t, s, &out), route)
			is.True(err != nil)
		})
	}
}

// TestStreamThatWasCutIsNotAssumedWhole guards against a stream that looks complete although its rest showed that it had
// been cut before, and nobody can be asked for the rest of that.
func TestStreamThatWasCutIsNotAssumedWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		s := &sender{replies: []reply{cutReply, {body: restReply.body, closeDelimited: true}}}
		f := newCompletingForwarder(t, s, &out)
		f.Budgets.Configure(0, 1)
		f.Budgets.TakeRetry("app")
		f.Budgets.Configure(1, 1)
		_, data, err := serve(context.Background(), f, "resumable")
		is.Equal(data, cutReply.body+restReply.body)
		is.True(err != nil)
	})
}
