package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/control"
)

const (
	keyPollFirst = 20 * time.Millisecond
	keyPollLast  = 500 * time.Millisecond
	// retryKey is when to ask again, with the same key, for an answer.
	retryKey = 2 * time.Second
)

// keyed is a request under an idempotency key.
type keyed struct {
	entry  *Entry
	req    *runworks.Request
	digest string
	home   *link
}

// serveKeyed runs a request at most once under its key: it asks the key's home
// first, and joins what runs or ran already.
func (e *Entry) serveKeyed(ctx context.Context, req *runworks.Request) (*Response, error) {
	k := &keyed{entry: e, req: req, digest: digest(&req.Call)}
	wait := keyPollFirst
	for {
		reply, err := k.claim(ctx)
		if err != nil {
			return nil, err
		}
		switch reply.Verdict {
		case control.KeyFresh:
			return k.serveFresh(ctx)
		case control.KeyBound:
			answer, err := k.join(ctx, &reply.Run)
			if !errors.Is(err, runworks.ErrNotDispatched) {
				return answer, err
			}
			k.end(ctx, reply.Run.ID)
		case control.KeyWaiting:
		default:
			return nil, refusedKey(reply.Verdict)
		}
		if !sleep(ctx, wait, req.Deadline) {
			return nil, &runworks.Failure{Err: runworks.ErrTimeLimit, Outcome: runworks.OutcomeUnknown, RetryAfter: retryKey}
		}
		wait = min(2*wait, keyPollLast)
	}
}

// digest tells two requests apart, so that a key is not used for both.
func digest(call *runworks.Call) string {
	h := sha256.New()
	h.Write([]byte(call.Method + " " + call.Path + "\n"))
	h.Write(call.Body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// refusedKey gives the failure for a verdict that ends the request. What the
// home can't tell is unknown: the key may have run before.
func refusedKey(verdict control.KeyVerdict) error {
	switch verdict {
	case control.KeyReused:
		return runworks.NotRun(runworks.ErrKeyReused, 0)
	case control.KeySpent:
		return runworks.NotRun(runworks.ErrKeySpent, 0)
	case control.KeyEarly:
		return &runworks.Failure{
			Err:     errorx.Decorate(runworks.ErrBadRequest, "the idempotency key was minted in the future"),
			Outcome: runworks.OutcomeUnknown, IdleAttempt: true,
		}
	case control.KeyTooOld:
		return &runworks.Failure{
			Err:     errorx.Decorate(runworks.ErrOutcomeUnknown, "the key is older than what its home remembers"),
			Outcome: runworks.OutcomeUnknown, IdleAttempt: true,
		}
	}
	return idleAttempt("the key's home takes no key just now: " + string(verdict))
}

// idleAttempt is the failure of a call that itself did nothing, under a key that
// an earlier call may have run.
func idleAttempt(why string) error {
	return &runworks.Failure{
		Err:     errorx.Decorate(runworks.ErrOutcomeUnknown, "%s", why),
		Outcome: runworks.OutcomeUnknown, RetryAfter: retryWhenAway, IdleAttempt: true,
	}
}

// claim asks the key's home, which the configuration in force names, and the
// home's heir for what the home can't tell.
func (k *keyed) claim(ctx context.Context) (*control.KeyReply, error) {
	now := k.entry.Config.InForce()
	if now == nil {
		return nil, idleAttempt("no configuration is in force yet")
	}
	server := now.Home(k.req.Service, k.req.Customer, k.req.IdempotencyKey)
	reply, err := k.claimAt(ctx, server, now.Version)
	if err == nil && reply.Verdict != control.KeyTooOld && reply.Verdict != control.KeyNotOwner {
		return reply, nil
	}
	if known, ok := k.askHeir(ctx, server); ok {
		return known, nil
	}
	return reply, err
}

// claimAt asks one agent as the key's home.
func (k *keyed) claimAt(ctx context.Context, server string, version int64) (*control.KeyReply, error) {
	k.home = k.entry.linkTo(server)
	if k.home == nil {
		return nil, idleAttempt("the key's home, " + server + ", is out of reach")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply control.KeyReply
	if err := k.home.conn.Call(ctx, control.MethodKeyClaim, k.message(version), &reply); err != nil {
		return nil, idleAttempt("the key's home did not answer")
	}
	return &reply, nil
}

// message is the claim of the key for this request.
func (k *keyed) message(version int64) control.KeyClaim {
	return control.KeyClaim{
		Service: k.req.Service, Customer: k.req.Customer, Key: k.req.IdempotencyKey,
		Digest: k.digest, ID: k.req.ID, Version: version,
	}
}

// serveFresh runs the request. It says not-run only once the home has spent the
// key; without the home's word another call may yet run under it.
func (k *keyed) serveFresh(ctx context.Context) (*Response, error) {
	answer, err := k.entry.serveFresh(ctx, k.req, k.bind)
	if err == nil {
		return answer, nil
	}
	failure := asFailure(err)
	if failure.Outcome == runworks.OutcomeNotRun && !k.end(ctx, "") {
		failure.Outcome = runworks.OutcomeUnknown
		failure.IdleAttempt = true
	}
	return nil, failure
}

// bind tells the home where the request is about to run; without its word the
// request does not run.
func (k *keyed) bind(ctx context.Context, p *pending) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b := control.KeyBind{Customer: k.req.Customer, Key: k.req.IdempotencyKey}
	b.Run = control.RunLocation{ID: p.id, Server: p.granted.server, Incarnation: p.granted.incarnation}
	var reply control.KeyBindReply
	err := k.home.conn.Call(ctx, control.MethodKeyBind, b, &reply)
	return err == nil && reply.Bound
}

// end ends the key for this request, or for a run that did not start, and says
// whether the home took it. It is asked also when the caller has gone.
func (k *keyed) end(ctx context.Context, run runworks.RequestID) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if k.home == nil {
		return false
	}
	end := control.KeyRelease{Customer: k.req.Customer, Key: k.req.IdempotencyKey, ID: k.req.ID, Run: run}
	var reply control.KeyReleaseReply
	err := k.home.conn.Call(ctx, control.MethodKeyRelease, end, &reply)
	return err == nil && reply.Released
}

// join fetches the answer of the request that runs or ran under the key.
func (k *keyed) join(ctx context.Context, run *control.RunLocation) (*Response, error) {
	l := k.entry.linkTo(run.Server)
	if l == nil {
		return nil, idleAttempt("the agent that runs the key's request, " + run.Server + ", is out of reach")
	}
	at := &runAt{entry: k.entry, id: run.ID, member: l.member, incarnation: run.Incarnation, deadline: k.req.Deadline, joined: true}
	a := newAnswer(ctx, at, nil)
	a.keep = true
	if err := a.resume(); err != nil {
		a.drop()
		return nil, a.final(err)
	}
	return a, nil
}

// linkTo gives the connection to the agent beside a backend server.
func (e *Entry) linkTo(server string) *link {
	e.mu.Lock()
	defer e.mu.Unlock()
	for l := range e.links {
		if l.server == server {
			return l
		}
	}
	return nil
}
