package forward

import (
	"context"
	"errors"
	"io"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/metrics"
	"github.com/runworks/runworks/services/dispatch"
)

// errUnproven is the cause if nothing shows that a response without length or chunks is whole.
var errUnproven = errors.New("nothing shows that the response is whole")

// The proofs that a response without length or chunks is whole.
const (
	// proofBody is a body that shows its end itself.
	proofBody = "body"
	// proofRest is a rest that was asked for and is empty.
	proofRest = "rest"
)

// The results by which ends of such responses are counted.
const (
	endProven  = "proven"
	endAssumed = "assumed"
	endBroken  = "broken"
)

// responseEnd is the end of a server's response.
type responseEnd struct {
	// closeDelimited is set if only the end of its connection ends the response.
	closeDelimited bool
	// proof is what shows that the response is whole, beyond its framing; empty if nothing does.
	proof string
	// named is set if the response named the server that sent it.
	named bool
	// assumed is set if the end of the connection counts as that of the response, unless something shows that it is cut.
	assumed bool
	// server and shown are ServerReply.ServerAtEnd and ServerReply.ShowsEnd.
	server func() string
	shown  func() bool
	lease  *dispatch.Lease
	// ended is set once the response has ended, or broke, while its caller waited for it.
	ended bool
	// leaving is set if the server was known to exit soon when the response ended, before it was asked.
	leaving bool
	// ctx is the context of the response.
	ctx context.Context
}

// bodyShowsIt reports whether the body itself has shown that it is whole.
func (e *responseEnd) bodyShowsIt() bool {
	if e.shown == nil || !e.shown() {
		return false
	}
	e.proof = proofBody
	return true
}

// check returns io.EOF if the end of the connection counts as that of the response, though nothing shows that it is whole.
// A caller can repeat a whole response that it does not get, but does not notice that a cut one lacks its end.
func (e *responseEnd) check() error {
	switch {
	case e.ctx.Err() != nil:
		return context.Cause(e.ctx)
	case !e.assumed:
		return errUnproven
	case e.lease.ServerRestarted():
		return errServerRestarted
	case e.lease.Leaving() && !e.leaving:
		return errorx.Decorate(runworks.ErrUnconfirmed, "%s leaves", e.lease.Instance.ID)
	}
	return io.EOF
}

// closeDelimitedBody is the body of a response that only the end of its connection ends.
type closeDelimitedBody struct {
	io.ReadCloser
	call *call
}

// Read implements io.Reader. The end is not that of the response if the server's record shows a restart: a
// server that restarts under its ID can't be told by asking.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	end := &b.call.end
	if !end.assumed && errors.Is(err, runworks.ErrUnconfirmed) {
		err = io.EOF // check decides, or the rest of a stream
	}
	end.ended = err != nil && end.ctx.Err() == nil
	switch {
	case !errors.Is(err, io.EOF):
		return n, err
	case end.bodyShowsIt():
		return n, err
	case end.lease.ServerRestarted():
		return n, errServerRestarted
	case b.call.stream != nil:
		return n, err // the stream settles its end
	}
	return n, end.check()
}

// settleEnd returns io.EOF if the stream is whole, as far as can be told, another error if it is cut, and nil if a
// server continues it.
func (s *stream) settleEnd() error {
	c := s.call
	switch {
	case c.end.proof != "" || !c.end.closeDelimited && !s.restIsEmpty():
		return io.EOF
	case s.restIsEmpty():
		return s.settleEmptyRest()
	case s.mayAskForRest() && s.askForRest():
		return nil
	}
	return s.checkEnd()
}

// checkEnd settles the end of a stream that nobody has continued or shown to be whole, as settleEnd does.
func (s *stream) checkEnd() error {
	if s.wasCut {
		return errorx.Decorate(runworks.ErrUnconfirmed, "the stream was cut before")
	}
	return s.call.end.check()
}

// settleEmptyRest settles the end of a stream that a server continued without an event. That response proves nothing
// if only the end of its connection ends it as well, as it may be cut before its first event.
func (s *stream) settleEmptyRest() error {
	c := s.call
	if c.end.closeDelimited {
		if s.rest != nil && c.isRerun() && s.askAgain() {
			return nil
		}
		return c.end.check()
	}
	if s.rest != nil {
		c.end.proof = proofRest
	}
	return io.EOF
}

// endUnproven ends a stream that nothing shows to be whole, or whose version is not known, and returns the failure. No other server
// continues it: a rest was asked for as far as the budget allows.
func (s *stream) endUnproven(cause error) error {
	if s.rest != nil {
		if !s.holds(s.lease) {
			s.lease.Release(dispatch.Abandoned) // that of another server, which was asked for the rest
		}
		s.dropRest()
	}
	_ = s.body.Close()
	s.recordBreak(cause)
	return s.call.interruptedFailure(s.ctx, cause)
}

// restIsEmpty reports whether a server was asked to continue the stream and sent no event.
func (s *stream) restIsEmpty() bool {
	return s.rest != nil || s.call.events > 0 && s.continued && !s.answered
}

// releaseServed releases the lease of a stream that is whole. Where another server was asked for an empty rest, that
// request was over at once, and is no measure of how long calls last.
func (s *stream) releaseServed() {
	if s.restIsEmpty() && !s.holds(s.lease) {
		s.lease.Release(dispatch.Abandoned)
		return
	}
	if !s.measured {
		s.lease.RecordLength(s.call.in.ExpectedTokens, s.call.events)
		s.measured = true
	}
	s.lease.Release(dispatch.Served)
}

// countEnd counts the end of a response without length or chunks.
func (c *call) countEnd(outcome runworks.Outcome) {
	result := endAssumed
	switch {
	case !c.end.closeDelimited && c.end.proof == "":
		return
	case outcome != runworks.OutcomeDone && !c.end.ended:
		return // its caller has left, or its time was over
	case outcome != runworks.OutcomeDone:
		result = endBroken
	case c.end.proof != "":
		result = endProven
	}
	metrics.Count(c.f.Metrics.CloseDelimitedEnds, metrics.Result(result))
}
