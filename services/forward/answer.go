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
	"github.com/runworks/runworks/modules/pause"
	"github.com/runworks/runworks/services/dispatch"
)

// maxBufferedBody is the size in bytes up to which a response is read whole before its head is
// passed on, so that a response that breaks off can be replaced by a retry.
const maxBufferedBody = 256 << 10

// handleReply turns a backend server's reply into the caller's. It releases the slot at the end of
// the response body.
func (c *call) handleReply(ctx context.Context, lease *dispatch.Lease, reply *runworks.ServerReply) (*runworks.Reply, *runworks.Failure) {
	c.firstByte = time.Now()
	metrics.Observe(c.f.Metrics.FirstByteSeconds, time.Since(c.in.Received).Seconds(), metrics.Rank(c.rank))
	if c.route.Kind == runworks.CallStream && reply.Status < 300 {
		s := &stream{call: c, ctx: ctx, lease: lease, body: reply.Body, status: reply.Status, answeredAt: c.firstByte, events: holdsEvents(reply.Header)}
		if c.resumedByCaller() {
			s.continueSequence(c.in.LastEventID)
			if s.status != http.StatusOK || !s.events {
				return c.retryOrReturn(ctx, nil, c.interruptedFailure(ctx, s.rejectReply(reply)), nil)
			}
		}
		c.stream = s
		c.f.readers.add(&s.reader)
		return &runworks.Reply{Status: reply.Status, Header: reply.Header, Body: s}, nil
	}
	return c.bufferReply(ctx, lease, reply)
}

// bufferReply reads the response body to its end before passing it on. One longer than
// maxBufferedBody, or for which there is no memory, is streamed.
func (c *call) bufferReply(ctx context.Context, lease *dispatch.Lease, reply *runworks.ServerReply) (*runworks.Reply, *runworks.Failure) {
	memory := &c.f.Memory
	reserved := wholeAnswerSize(reply.Header)
	var data []byte
	var err error
	fits := memory.Reserve(reserved)
	if fits {
		data, err = io.ReadAll(io.LimitReader(reply.Body, maxBufferedBody))
	} else {
		reserved = 0
	}
	if err == nil && (!fits || len(data) == maxBufferedBody) {
		body := &prefixedBody{call: c, ctx: ctx, lease: lease, status: reply.Status, prefix: bytes.NewReader(data), rest: reply.Body, reserved: reserved}
		return &runworks.Reply{Status: reply.Status, Header: reply.Header, Body: body}, nil
	}
	_ = reply.Body.Close()
	if err != nil {
		memory.Release(reserved)
		lease.Release(c.resultOrAbandoned(ctx, time.Now(), resultOfBreak(err)))
		c.recordInterruption(ctx, lease.Instance, time.Time{}, err)
		return c.retryOrReturn(ctx, err, c.interruptedFailure(ctx, err), nil)
	}
	memory.Release(reserved - int64(len(data)))
	reply.Header.Set("Content-Length", strconv.Itoa(len(data)))
	out := &runworks.Reply{Status: reply.Status, Header: reply.Header, Body: &wholeBody{Reader: bytes.NewReader(data), memory: memory, reserved: int64(len(data))}}
	lease.Release(resultOf(reply.Status))
	if reply.Status >= 500 {
		return c.retryOrReturn(ctx, nil, nil, out)
	}
	c.recordAnswer(reply.Status)
	c.finish(runworks.OutcomeDone, reply.Status, nil)
	return out, nil
}

const (
	// bulkBytes is the size in bytes beyond which a response is passed on with a pause after each of its
	// bulkPart.
	bulkBytes = 256 << 10
	bulkPart  = 64 << 10
	// bulkPause is the pause: a response that arrives and is read without a pause keeps a process with one
	// processor busy, and it then polls its other connections only each 10 ms.
	bulkPause = time.Millisecond
)

// countResponse counts received bytes of a response that is passed on as it arrives, and reports whether the
// call may receive more.
func (c *call) countResponse(n int) bool {
	before := c.received / bulkPart
	c.received += int64(n)
	if c.received > bulkBytes && c.received/bulkPart > before {
		pause.For(c.attemptCtx, bulkPause)
	}
	return c.f.MaxResponseBytes <= 0 || c.received <= c.f.MaxResponseBytes
}

// resultOfBreak returns the dispatch result for a response that is not complete. An end that the server does
// not confirm does not count against it: it may be whole, and the server full.
func resultOfBreak(err error) dispatch.Result {
	if errors.Is(err, runworks.ErrUnconfirmed) || errors.Is(err, errUnproven) {
		return dispatch.Abandoned
	}
	return dispatch.Interrupted
}

// resultOf returns the dispatch result for a response status. 504 does not count against the
// server: the caller's time was over.
func resultOf(status int) dispatch.Result {
	if status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout {
		return dispatch.Failed
	}
	return dispatch.Served
}

// retryOrReturn retries a call that ran and failed for a cause, if it may be retried. Otherwise it returns the
// failure or own, the server's own error response.
func (c *call) retryOrReturn(ctx context.Context, cause error, failure *runworks.Failure, own *runworks.Reply) (*runworks.Reply, *runworks.Failure) {
	if c.mayRetry(ctx, cause) {
		metrics.Count(c.f.Metrics.Retries, metrics.Result(string(runworks.OutcomeFailed)))
		reply, second := c.serve(ctx)
		if second == nil || own == nil {
			if own != nil {
				_ = own.Body.Close()
			}
			return reply, second
		}
	}
	if own != nil {
		c.finish(runworks.OutcomeFailed, own.Status, nil)
		return own, nil
	}
	return nil, failure
}

// wholeBody is a response body that was read whole.
type wholeBody struct {
	*bytes.Reader
	memory   *Memory
	reserved int64
}

// Close implements io.Closer.
func (b *wholeBody) Close() error {
	b.memory.Release(b.reserved)
	b.reserved = 0
	return nil
}

// prefixedBody is a response body too long to buffer: the prefix already read, then the rest.
type prefixedBody struct {
	call   *call
	ctx    context.Context
	lease  *dispatch.Lease
	status int
	prefix *bytes.Reader
	rest   io.ReadCloser
	err    error
	// reserved is the memory in bytes that is reserved for the prefix.
	reserved int64
}

// Read implements io.Reader.
func (t *prefixedBody) Read(p []byte) (int, error) {
	if t.prefix.Len() > 0 {
		t.call.beginResponse()
		return t.prefix.Read(p)
	}
	n, err := t.rest.Read(p)
	if n > 0 {
		t.call.beginResponse()
	}
	if err == nil && !t.call.countResponse(n) {
		n, err = 0, errResponseTooLong
	} else if err != nil && !errors.Is(err, io.EOF) {
		err = t.call.interruptedFailure(t.ctx, err)
	}
	t.err = err
	return n, err
}

// Close implements io.Closer.
func (t *prefixedBody) Close() error {
	t.call.f.Memory.Release(t.reserved)
	t.reserved = 0
	_ = t.rest.Close()
	if errors.Is(t.err, io.EOF) {
		t.lease.Release(resultOf(t.status))
		if t.status >= http.StatusInternalServerError {
			t.call.finish(runworks.OutcomeFailed, t.status, nil)
			return nil
		}
		t.call.recordAnswer(t.status)
		t.call.finish(runworks.OutcomeDone, t.status, nil)
		return nil
	}
	result := dispatch.Abandoned
	if errors.Is(t.err, errResponseTooLong) {
		result = dispatch.Interrupted
	}
	t.lease.Release(result)
	t.call.finish(runworks.OutcomeUnknown, t.status, t.err)
	return nil
}
