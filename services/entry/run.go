package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"go.opentelemetry.io/otel/propagation"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/rpc"
	"github.com/runworks/runworks/modules/tracing"
	"github.com/runworks/runworks/services/control"
)

const (
	// resolveLimit bounds how long the fate of a request is asked for after a
	// cut; it is longer than the silence after which a connection is given up.
	resolveLimit = control.HeartbeatTimeout + 3*time.Second
	resolveEvery = 100 * time.Millisecond
	callTimeout  = 2 * time.Second
)

// errCut says that the connection to the agent broke before the end.
var errCut = errorx.ExternalError.New("the connection to the agent broke")

// runAt is a request that was granted to one life of an agent.
type runAt struct {
	entry       *Entry
	id          runworks.RequestID
	member      *member
	incarnation runworks.Incarnation
	deadline    time.Time
	// joined is set for a request that another call owns: it is not revoked.
	joined bool
}

// run sends a granted request to its agent, once, and gives the answer's head.
func (e *Entry) run(ctx context.Context, p *pending) (*Response, error) {
	at := &runAt{entry: e, id: p.id, member: p.granted.member, incarnation: p.granted.incarnation, deadline: p.req.Deadline}
	a := newAnswer(ctx, at, p.granted)
	if p.req.IdempotencyKey != "" {
		a.keep = true
	}
	err := a.send(p)
	if errors.Is(err, errCut) {
		err = a.resume()
	}
	if err != nil {
		a.abandon()
		return nil, a.final(err)
	}
	return a, nil
}

// send posts the request; errCut means that it may have arrived.
func (a *Response) send(p *pending) error {
	head, err := json.Marshal(&p.req.Call)
	if err != nil {
		return runworks.NotRun(errorx.Decorate(err, "encode the call"), 0)
	}
	a.connect(p.granted)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	// The body hides its type: net/http must not send it a second time.
	body := io.NopCloser(bytes.NewReader(p.req.Call.Body))
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(a.reqCtx, trace), http.MethodPost, a.url(p.granted), body)
	if err != nil {
		return runworks.NotRun(errorx.Decorate(err, "build the run"), 0)
	}
	req.ContentLength = int64(len(p.req.Call.Body))
	req.Header.Set(control.HeaderCall, string(head))
	req.Header.Set(control.HeaderRemaining, time.Until(p.req.Deadline).String())
	if a.keep {
		req.Header.Set(control.HeaderRetain, "true")
	}
	tracing.Inject(a.ctx, propagation.HeaderCarrier(req.Header))
	err = a.do(req)
	if errors.Is(err, errCut) && !connected.Load() {
		return notDispatched("the agent can't be reached")
	}
	var refusal *refusedRun
	if errors.As(err, &refusal) && refusal.state != control.StateRunning && refusal.state != control.StateEnded {
		return notDispatched("the agent refused the run: " + string(refusal.state))
	}
	return err
}

// notDispatched is the failure of an attempt that provably did not run.
func notDispatched(why string) error {
	return runworks.NotRun(errorx.Decorate(runworks.ErrNotDispatched, "%s", why), retryWhenAway)
}

// refusedRun is an agent's word that it does not stream a run.
type refusedRun struct {
	state control.RunState
}

// Error implements error.
func (r *refusedRun) Error() string { return "the request is " + string(r.state) + " at its agent" }

// do sends a request for the run's stream and takes its head.
func (a *Response) do(req *http.Request) error {
	req.Header.Set(rpc.KeyHeader, a.at.entry.Keys.Primary())
	req.Header.Set(control.HeaderIncarnation, string(a.at.incarnation))
	res, err := a.at.entry.client.Do(req)
	if err != nil {
		return errorx.Decorate(errCut, "%v", err)
	}
	if state := res.Header.Get(control.HeaderRunOutcome); state != "" && res.StatusCode != http.StatusOK {
		_ = res.Body.Close()
		return &refusedRun{state: control.RunState(state)}
	}
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(res.Body, 1<<10))
		_ = res.Body.Close()
		return failed(errorx.Decorate(runworks.ErrBackend, "%s: %s", res.Status, text))
	}
	var head control.ReplyHead
	if err := json.Unmarshal([]byte(res.Header.Get(control.HeaderReply)), &head); err != nil {
		_ = res.Body.Close()
		return failed(errorx.Decorate(err, "read the head of the answer"))
	}
	a.Head = head
	a.res = res
	return nil
}

func failed(err error) error {
	return &runworks.Failure{Err: err, Outcome: runworks.OutcomeFailed}
}

// url is where the run's stream is.
func (a *Response) url(l *link) string {
	u := "http://" + l.address + "/run/" + string(a.at.id)
	if a.offset > 0 {
		u += "?from=" + strconv.FormatInt(a.offset, 10)
	}
	return u
}

// fate asks the same life of the agent what became of the request, and bars it
// from running if it has not started; a joined one it waits for. It gives the
// connection it asked over.
// Another life of the agent, or none in time, proves nothing.
func (at *runAt) fate(ctx context.Context) (control.RunState, *link) {
	limit := time.Now().Add(resolveLimit)
	if at.deadline.Before(limit) {
		limit = at.deadline
	}
	for {
		if l := at.link(); l != nil {
			if l.incarnation != at.incarnation {
				return control.StateUnknown, nil
			}
			if state, ok := at.revoke(ctx, l); ok && state != control.StateClaimed {
				return state, l
			}
		}
		if !sleep(ctx, resolveEvery, limit) {
			return control.StateUnknown, nil
		}
	}
}

// link gives the connection to the agent now; nil if there is none.
func (at *runAt) link() *link {
	at.entry.mu.Lock()
	defer at.entry.mu.Unlock()
	return at.member.link
}

func (at *runAt) revoke(ctx context.Context, l *link) (control.RunState, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply control.RevokeReply
	if err := l.conn.Call(ctx, control.MethodRevoke, control.Revoke{ID: at.id, QueryOnly: at.joined}, &reply); err != nil {
		return "", false
	}
	return reply.State, true
}

// giveBack revokes a grant that is not used, so that its slot is free at once.
func (e *Entry) giveBack(p *pending) {
	at := &runAt{entry: e, id: p.id, member: p.granted.member, incarnation: p.granted.incarnation}
	l := p.granted
	e.ungrant(l)
	e.work.Go(func() { at.revoke(context.Background(), l) })
}
