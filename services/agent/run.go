package agent

import (
	"context"
	"encoding/json"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/stream"
	"github.com/runworks/runworks/services/control"
	"github.com/runworks/runworks/services/reservation"
)

// run is a request that this agent claimed, and its answer.
type run struct {
	id     runworks.RequestID
	ticket runworks.Reservation
	asked  time.Time
	// started is closed when the request leaves the claimed state for running.
	started chan struct{}
	// began is when the request started.
	began time.Time

	// What follows is guarded by the agent's lock.
	state   control.RunState
	freed   bool
	ended   time.Time
	keep    bool
	readers int
	whole   bool
	cancel  context.CancelFunc
	orphan  *time.Timer

	// answer and what follows are set when the request starts.
	answer *stream.Buffer
	// headed is closed when head is set or the request has ended without one.
	headed chan struct{}
	head   *control.ReplyHead
	err    error
}

func newRun(w *reservation.Item) *run {
	return &run{
		id: w.ID, ticket: w.Reservation, asked: time.Now(), state: control.StateClaimed,
		started: make(chan struct{}), headed: make(chan struct{}),
	}
}

// RunRequest is a granted request as it comes to the agent.
type RunRequest struct {
	ID runworks.RequestID
	// Incarnation is the agent's life that the request was granted to.
	Incarnation runworks.Incarnation
	Call        runworks.Call
	// KeepRunning asks that the run outlive the entry.
	KeepRunning bool
	// Timeout is the time left until the request's limit.
	Timeout time.Duration
}

// RefusalError is a run that an agent did not start, with the state it knows.
type RefusalError struct {
	State control.RunState
}

// Error implements error.
func (r *RefusalError) Error() string { return "the request is " + string(r.State) + " here" }

// StartRun moves a claimed request to running, exactly once, and calls the
// backend server. The error is a Refusal if the request is not claimed.
func (a *Agent) StartRun(ctx context.Context, o *RunRequest) error {
	if o.Incarnation != a.incarnation {
		return &RefusalError{State: control.StateUnknown}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.runs[o.ID]
	if r == nil {
		return &RefusalError{State: control.StateUnknown}
	}
	if r.state == control.StateClaimed && time.Since(r.asked) > control.GrantTimeout {
		a.tombstoneLocked(r)
	}
	if r.state != control.StateClaimed {
		return &RefusalError{State: r.state}
	}
	a.startLocked(ctx, r, o)
	return nil
}

// startLocked begins the run. It does not end with the entry's connection.
func (a *Agent) startLocked(ctx context.Context, r *run, o *RunRequest) {
	r.state = control.StateRunning
	r.keep = o.KeepRunning
	r.began = time.Now()
	r.answer = &stream.Buffer{Limit: a.MaxAnswerBytes}
	runCtx, cancel := context.WithTimeout(a.withTrace(ctx), o.Timeout)
	r.cancel = cancel
	close(r.started)
	backend := a.backend
	call := o.Call
	a.work.Go(func() {
		defer cancel()
		a.execute(runCtx, r, backend, &call)
	})
	a.abandonLaterLocked(r)
}

// Revoke bars a request from running if it has not started, unless it is only
// asked for, and tells its state.
func (a *Agent) Revoke(m control.Revoke) control.RunState {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.runs[m.ID]
	if r == nil {
		return control.StateUnknown
	}
	if !m.QueryOnly {
		a.tombstoneLocked(r)
	}
	return r.state
}

// Cancel ends a request that nobody wants any more.
func (a *Agent) Cancel(id runworks.RequestID) control.RunState {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.runs[id]
	if r == nil {
		return control.StateUnknown
	}
	a.tombstoneLocked(r)
	if r.cancel != nil && r.state == control.StateRunning {
		r.cancel()
	}
	return r.state
}

func (l *link) revoke(params json.RawMessage) (any, error) {
	var m control.Revoke
	if err := control.Decode(params, &m); err != nil {
		return nil, err
	}
	return control.RevokeReply{State: l.agent.Revoke(m)}, nil
}

// Reader reads the answer of one run; Close it.
type Reader struct {
	agent  *Agent
	run    *run
	answer *stream.Buffer
}

// Open gives a reader of a run at this incarnation; the error is a Refusal if
// the run did not start here or is no longer known.
func (a *Agent) Open(id runworks.RequestID, incarnation runworks.Incarnation) (*Reader, error) {
	if incarnation != a.incarnation {
		return nil, &RefusalError{State: control.StateUnknown}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.runs[id]
	if r == nil {
		return nil, &RefusalError{State: control.StateUnknown}
	}
	if r.answer == nil {
		return nil, &RefusalError{State: r.state}
	}
	r.readers++
	if r.orphan != nil {
		r.orphan.Stop()
	}
	return &Reader{agent: a, run: r, answer: r.answer}, nil
}

// Head waits for the backend server's status and header. The error is a
// Refusal if the call provably did not leave for the backend server.
func (rd *Reader) Head(ctx context.Context) (*control.ReplyHead, error) {
	select {
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	case <-rd.run.headed:
	}
	rd.agent.mu.Lock()
	defer rd.agent.mu.Unlock()
	if rd.run.head != nil {
		return rd.run.head, nil
	}
	if rd.run.state == control.StateTombstoned {
		return nil, &RefusalError{State: control.StateTombstoned}
	}
	return nil, rd.run.err
}

// Next waits for bytes at an offset; end tells that all were read, and err then
// how the run ended.
func (rd *Reader) Next(ctx context.Context, from int64) (p []byte, end bool, err error) {
	p, end, err = rd.answer.Next(ctx, from)
	if end {
		rd.agent.mu.Lock()
		rd.run.whole = true
		rd.agent.mu.Unlock()
	}
	return p, end, err
}

// Close lets go of the run; without another reader it is abandoned after a while.
func (rd *Reader) Close() {
	rd.agent.mu.Lock()
	defer rd.agent.mu.Unlock()
	rd.run.readers--
	rd.agent.abandonLaterLocked(rd.run)
	rd.agent.changed.Signal()
}

// abandonLaterLocked ends a run whose reader does not come back in time.
func (a *Agent) abandonLaterLocked(r *run) {
	if r.readers > 0 || r.state != control.StateRunning {
		return
	}
	limit := a.OrphanTimeout
	if r.keep {
		limit = a.KeyedOrphanTimeout
	}
	if r.orphan != nil {
		r.orphan.Stop()
	}
	r.orphan = time.AfterFunc(limit, func() { a.abandon(r) })
}

func (a *Agent) abandon(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.readers == 0 && r.state == control.StateRunning {
		r.cancel()
	}
}
