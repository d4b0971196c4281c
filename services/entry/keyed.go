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
	minKeyPoll = 20 * time.Millisecond
	maxKeyPoll = 500 * time.Millisecond
	// retryAfterKeyed is the Retry-After for a retry with the same key.
	retryAfterKeyed = 2 * time.Second
)

// keyed is a request with an idempotency key.
type keyed struct {
	entry  *Entry
	req    *runworks.Request
	digest string
	owner  *link
}

// serveKeyed runs a request at most once under its key: it claims the key at its
// owner first, and reads the response of an existing run.
func (e *Entry) serveKeyed(ctx context.Context, req *runworks.Request) (*Response, error) {
	k := &keyed{entry: e, req: req, digest: digest(&req.Call)}
	wait := minKeyPoll
	for {
		reply, err := k.claim(ctx)
		if err != nil {
			return nil, err
		}
		switch reply.Verdict {
		case control.KeyFresh:
			return k.serveNew(ctx)
		case control.KeyBound:
			resp, err := k.join(ctx, &reply.Run)
			if !errors.Is(err, runworks.ErrNotDispatched) {
				return resp, err
			}
			k.release(ctx, reply.Run.ID)
		case control.KeyWaiting:
		default:
			return nil, refusedKey(reply.Verdict)
		}
		if !sleep(ctx, wait, req.Deadline) {
			return nil, &runworks.Failure{Err: runworks.ErrTimeLimit, Outcome: runworks.OutcomeUnknown, RetryAfter: retryAfterKeyed}
		}
		wait = min(2*wait, maxKeyPoll)
	}
}

// digest returns a hash of the call, so that a key is not reused for another call.
func digest(call *runworks.Call) string {
	h := sha256.New()
	h.Write([]byte(call.Method + " " + call.Path + "\n"))
	h.Write(call.Body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// refusedKey returns the failure for a verdict that ends the request. The outcome
// is unknown if the owner has no record of the key: its request may have run before.
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

// idleAttempt returns the failure of a call that ran nothing itself, under a key
// for which an earlier call may have run.
func idleAttempt(reason string) error {
	return &runworks.Failure{
		Err:     errorx.Decorate(runworks.ErrOutcomeUnknown, "%s", reason),
		Outcome: runworks.OutcomeUnknown, RetryAfter: retryAfterUnreachable, IdleAttempt: true,
	}
}

// claim claims the key at its owner according to the active configuration. It looks
// the key up at the owner's successor if the owner can't decide.
func (k *keyed) claim(ctx context.Context) (*control.KeyReply, error) {
	snap := k.entry.Config.Active()
	if snap == nil {
		return nil, idleAttempt("no configuration is in force yet")
	}
	server := snap.KeyOwner(k.req.Service, k.req.Customer, k.req.IdempotencyKey)
	reply, err := k.claimAt(ctx, server, snap.Version)
	if err == nil && reply.Verdict != control.KeyTooOld && reply.Verdict != control.KeyNotOwner {
		return reply, nil
	}
	if known, ok := k.lookUpAtSuccessor(ctx, server); ok {
		return known, nil
	}
	return reply, err
}

// claimAt claims the key at the agent of one server.
func (k *keyed) claimAt(ctx context.Context, server string, version int64) (*control.KeyReply, error) {
	k.owner = k.entry.linkTo(server)
	if k.owner == nil {
		return nil, idleAttempt("the key's home, " + server + ", is out of reach")
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply control.KeyReply
	if err := k.owner.conn.Call(callCtx, control.MethodKeyClaim, k.message(version), &reply); err != nil {
		// The owner may have granted the claim, and would have others wait for this request.
		claimed := *k
		k.entry.work.Go(func() { claimed.withdraw(ctx) })
		return nil, idleAttempt("the key's home did not answer")
	}
	return &reply, nil
}

// message returns the claim of the key for this request.
func (k *keyed) message(version int64) control.KeyClaim {
	return control.KeyClaim{
		Service: k.req.Service, Customer: k.req.Customer, Key: k.req.IdempotencyKey,
		Digest: k.digest, ID: k.req.ID, Version: version,
	}
}

// serveNew runs the request. It reports OutcomeNotRun only after the owner has
// marked the key as spent; otherwise another call may still run under it.
func (k *keyed) serveNew(ctx context.Context) (*Response, error) {
	resp, err := k.entry.serveNew(ctx, k.req, k.bind)
	if err == nil {
		return resp, nil
	}
	failure := asFailure(err)
	if failure.Outcome == runworks.OutcomeNotRun && !k.release(ctx, "") {
		failure.Outcome = runworks.OutcomeUnknown
		failure.IdleAttempt = true
	}
	return nil, failure
}

// bind records at the owner where the request is about to run, and reports whether
// the owner accepted; otherwise the request must not run.
func (k *keyed) bind(ctx context.Context, p *pending) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b := control.KeyBind{Customer: k.req.Customer, Key: k.req.IdempotencyKey}
	b.Run = control.RunLocation{ID: p.attemptID, Server: p.granted.server, Incarnation: p.granted.incarnation}
	var reply control.KeyBindReply
	err := k.owner.conn.Call(ctx, control.MethodKeyBind, b, &reply)
	return err == nil && reply.Bound
}

// release marks the key as spent for this request, or frees it from a run that did
// not start, and reports whether the owner accepted.
func (k *keyed) release(ctx context.Context, run runworks.RequestID) bool {
	return k.sendRelease(ctx, &control.KeyRelease{Run: run})
}

// withdraw frees the key from a claim that got no answer. Nothing may run by that claim.
func (k *keyed) withdraw(ctx context.Context) {
	k.sendRelease(ctx, &control.KeyRelease{Withdraw: true})
}

// sendRelease sends a release for this request, even if the caller has disconnected.
func (k *keyed) sendRelease(ctx context.Context, end *control.KeyRelease) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if k.owner == nil {
		return false
	}
	end.Customer, end.Key, end.ID = k.req.Customer, k.req.IdempotencyKey, k.req.ID
	var reply control.KeyReleaseReply
	err := k.owner.conn.Call(ctx, control.MethodKeyRelease, end, &reply)
	return err == nil && reply.Released
}

// join reads the response of the request that runs or ran under the key.
func (k *keyed) join(ctx context.Context, run *control.RunLocation) (*Response, error) {
	l := k.entry.linkTo(run.Server)
	if l == nil {
		return nil, idleAttempt("the agent that runs the key's request, " + run.Server + ", is out of reach")
	}
	granted := &grantedRun{entry: k.entry, id: run.ID, member: l.member, incarnation: run.Incarnation, deadline: k.req.Deadline, joined: true}
	r := newResponse(ctx, granted, nil)
	r.retain = true
	if err := r.resume(); err != nil {
		r.closeStream()
		return nil, r.finalFailure(err)
	}
	return r, nil
}

// linkTo returns the connection to the agent of a backend server; nil if there is
// none.
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
