package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/services/dispatch"
)

// maxHeldAnswer bounds an answer that is read whole before its head is passed
// on, so that one that breaks off can be replaced.
const maxHeldAnswer = 256 << 10

// answer turns a backend server's reply into the caller's. It gives the slot
// back at the answer's end.
func (c *call) answer(ctx context.Context, lease *dispatch.Lease, reply *runworks.ServerReply) (*runworks.Reply, *runworks.Failure) {
	c.firstByte = time.Now()
	metrics.Observe(c.f.Metrics.FirstByteSeconds, time.Since(c.in.Received).Seconds(), metrics.Rank(c.rank))
	if c.route.Kind == runworks.CallStream && reply.Status < 300 {
		s := &stream{call: c, ctx: ctx, lease: lease, body: reply.Body, begun: c.firstByte}
		return &runworks.Reply{Status: reply.Status, Header: reply.Header, Body: s}, nil
	}
	return c.whole(ctx, lease, reply)
}

// whole reads an answer to its end before it is passed on.
func (c *call) whole(ctx context.Context, lease *dispatch.Lease, reply *runworks.ServerReply) (*runworks.Reply, *runworks.Failure) {
	data, err := io.ReadAll(io.LimitReader(reply.Body, maxHeldAnswer))
	if err == nil && len(data) == maxHeldAnswer {
		rest := &tail{call: c, lease: lease, status: reply.Status, head: bytes.NewReader(data), body: reply.Body}
		return &runworks.Reply{Status: reply.Status, Header: reply.Header, Body: rest}, nil
	}
	_ = reply.Body.Close()
	if err != nil {
		lease.Release(c.endOf(ctx, time.Now(), dispatch.Interrupted))
		c.noteEnd(ctx, lease.Instance, time.Time{})
		return c.again(ctx, c.broken(ctx, err), nil)
	}
	reply.Header.Set("Content-Length", strconv.Itoa(len(data)))
	out := &runworks.Reply{Status: reply.Status, Header: reply.Header, Body: io.NopCloser(bytes.NewReader(data))}
	lease.Release(resultOf(reply.Status))
	if reply.Status >= 500 {
		return c.again(ctx, nil, out)
	}
	c.noteAnswered()
	c.finish(runworks.OutcomeDone, reply.Status, nil)
	return out, nil
}

// resultOf says what an answer tells of its server. One that says that the time was
// over speaks against nobody.
func resultOf(status int) dispatch.Result {
	if status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout {
		return dispatch.Failed
	}
	return dispatch.Served
}

// again tries a call that ran and failed once more, if it may; else it gives the
// failure, or the server's own answer.
func (c *call) again(ctx context.Context, failure *runworks.Failure, own *runworks.Reply) (*runworks.Reply, *runworks.Failure) {
	if c.mayTryAgain(ctx, nil) {
		metrics.Count(c.f.Metrics.Retries, metrics.Result(string(runworks.OutcomeFailed)))
		reply, second := c.serve(ctx)
		if second == nil || own == nil {
			return reply, second
		}
	}
	if own != nil {
		c.finish(runworks.OutcomeFailed, own.Status, nil)
		return own, nil
	}
	return nil, failure
}

// tail is an answer too long to be held: what was read, and what comes.
type tail struct {
	call   *call
	lease  *dispatch.Lease
	status int
	head   *bytes.Reader
	body   io.ReadCloser
	end    error
}

// Read implements io.Reader.
func (t *tail) Read(p []byte) (int, error) {
	if t.head.Len() > 0 {
		return t.head.Read(p)
	}
	n, err := t.body.Read(p)
	t.end = err
	return n, err
}

// Close implements io.Closer.
func (t *tail) Close() error {
	_ = t.body.Close()
	if errors.Is(t.end, io.EOF) {
		t.lease.Release(dispatch.Served)
		t.call.noteAnswered()
		t.call.finish(runworks.OutcomeDone, t.status, nil)
		return nil
	}
	t.lease.Release(dispatch.Abandoned)
	t.call.finish(runworks.OutcomeUnknown, t.status, t.end)
	return nil
}
