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

// run is a request that this agent has claimed, with its response.
type run struct {
	id          runworks.RequestID
	reservation runworks.Reservation
	claimedAt   time.Time
	// started is closed when the state changes from claimed to running.
	started chan struct{}
	// startedAt is the time at which the request started to run.
	startedAt time.Time

	// The fields below are guarded by the agent's mutex.
	state       control.RunState
	freed       bool
	endedAt     time.Time
	keepRunning bool
	// cancelled is set if the entry no longer wants the response.
	cancelled   bool
	readers     int
	fullyRead   bool
	cancel      context.CancelFunc
	orphanTimer *time.Timer

	// response and the fields below are set when the request starts.
	response *stream.Buffer
	// headReady is closed when head is set or the request has ended without one.
	headReady chan struct{}
	head      *control.ReplyHead
	err       error
}

func newRun(w *reservation.Item) *run {
	return &run{
		id: w.ID, reservation: w.Reservation, claimedAt: time.Now(), state: control.StateClaimed,
		started: make(chan struct{}), headReady: make(chan struct{}),
	}
}

// RunRequest is a granted request as an entry delivers it.
type RunRequest struct {
	ID runworks.RequestID
	// Incarnation is the agent incarnation that the request was granted to.
	Incarnation runworks.Incarnation
	Call        runworks.Call
	// KeepRunning asks that the run continue if the entry disconnects.
	KeepRunning bool
	// Timeout is the time left until the request's time limit.
	Timeout time.Duration
}

// RefusalError is the error for a run that is not available at this agent; State is its state
// here.
type RefusalError struct {
	State control.RunState
}

// Error implements error.
func (r *RefusalError) Error() string { return "the request is " + string(r.State) + " here" }

// StartRun changes a claimed request to running, exactly once, and calls the backend server.
// It returns a RefusalError if the request is not claimed.
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
	if r.state == control.StateClaimed && time.Since(r.claimedAt) > control.GrantTimeout {
		a.tombstoneLocked(r)
	}
	if r.state != control.StateClaimed {
		return &RefusalError{State: r.state}
	}
	a.startLocked(ctx, r, o)
	return nil
}

// startLocked starts the run. Its context does not end with the entry's connection.
func (a *Agent) startLocked(ctx context.Context, r *run, o *RunRequest) {
	r.state = control.StateRunning
	r.keepRunning = o.KeepRunning
	r.startedAt = time.Now()
	r.response = &stream.Buffer{Limit: a.MaxResponseBytes}
	runCtx, cancel := context.WithTimeout(a.withTrace(ctx), o.Timeout)
	r.cancel = cancel
	close(r.started)
	backend := a.backend
	call := o.Call
	a.work.Go(func() {
		defer cancel()
		a.execute(runCtx, r, backend, &call)
	})
	a.startOrphanTimerLocked(r)
}

// Revoke prevents a request that has not started from running, unless the message is a query
// only, and returns its state.
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

// Cancel ends a request whose response is no longer wanted and returns its state.
func (a *Agent) Cancel(id runworks.RequestID) control.RunState {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.runs[id]
	if r == nil {
		return control.StateUnknown
	}
	a.tombstoneLocked(r)
	r.cancelled = true
	switch {
	case r.cancel != nil && r.state == control.StateRunning:
		r.cancel()
	case r.state == control.StateEnded && r.readers == 0:
		a.dropResponseLocked(r)
	}
	return r.state
}

func (l *link) handleRevoke(params json.RawMessage) (any, error) {
	var m control.Revoke
	if err := control.Decode(params, &m); err != nil {
		return nil, err
	}
	return control.RevokeReply{State: l.agent.Revoke(m)}, nil
}

// Reader reads the response of one run. It must be closed.
type Reader struct {
	agent    *Agent
	run      *run
	response *stream.Buffer
}

// Open returns a reader of a run of this incarnation. It returns a RefusalError if the run did
// not start here or its response was dropped.
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
	if r.response == nil {
		return nil, &RefusalError{State: r.state}
	}
	r.readers++
	if r.orphanTimer != nil {
		r.orphanTimer.Stop()
	}
	return &Reader{agent: a, run: r, response: r.response}, nil
}

// Head waits for the status and header of the response. It returns a RefusalError if the call
// provably was not sent to the backend server.
func (rd *Reader) Head(ctx context.Context) (*control.ReplyHead, error) {
	select {
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	case <-rd.run.headReady:
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

// CheckOffset returns a RefusalError if the bytes at an offset were dropped: no later reader gets them either.
func (rd *Reader) CheckOffset(from int64) error {
	if !rd.response.Dropped(from) {
		return nil
	}
	rd.agent.mu.Lock()
	defer rd.agent.mu.Unlock()
	return &RefusalError{State: rd.run.state}
}

// Next waits for bytes at an offset. If end is set, all bytes were read and err is the result
// of the run.
func (rd *Reader) Next(ctx context.Context, from int64) (p []byte, end bool, err error) {
	p, end, err = rd.response.Next(ctx, from)
	if end {
		rd.agent.mu.Lock()
		rd.run.fullyRead = true
		rd.agent.mu.Unlock()
	}
	return p, end, err
}

// Close ends the reader. A run without a reader is cancelled after its orphan timeout.
func (rd *Reader) Close() {
	rd.agent.mu.Lock()
	defer rd.agent.mu.Unlock()
	rd.run.readers--
	rd.agent.startOrphanTimerLocked(rd.run)
	rd.agent.changed.Signal()
}

// startOrphanTimerLocked starts the timer that cancels a run which has no reader.
func (a *Agent) startOrphanTimerLocked(r *run) {
	if r.readers > 0 || r.state != control.StateRunning {
		return
	}
	limit := a.OrphanTimeout
	if r.keepRunning {
		limit = a.KeyedOrphanTimeout
	}
	if r.orphanTimer != nil {
		r.orphanTimer.Stop()
	}
	r.orphanTimer = time.AfterFunc(limit, func() { a.cancelOrphan(r) })
}

func (a *Agent) cancelOrphan(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.readers == 0 && r.state == control.StateRunning {
		r.cancel()
	}
}
