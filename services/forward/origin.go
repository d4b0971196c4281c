package forward

import (
	"context"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
)

// originMargin is how much longer than its caller waits the origin of a stream is kept: the caller
// counts from its first attempt, and its clock may differ.
const originMargin = 5 * time.Second

// resumedByCaller reports whether the caller resumes a stream that began with an earlier attempt. Its route
// may have been another one then.
func (c *call) resumedByCaller() bool {
	return c.route.Kind == runworks.CallStream && c.in.LastEventID != "" && (c.route.Resumable || c.in.Resumes != "")
}

// resumed reports whether the call continues a stream of which its caller has events.
func (c *call) resumed() bool { return !c.lastEvent.IsZero() || c.resumedByCaller() }

// streamID returns the ID by which the route picks the call's service: of a stream that the caller
// resumes, that of the attempt that began it.
func (c *call) streamID() runworks.RequestID {
	if c.resumedByCaller() && c.in.Resumes != "" {
		return c.in.Resumes
	}
	return c.in.ID
}

// resolveOrigin finds the service and version that began the stream which the caller resumes. What
// another version writes does not continue it, so that it is refused if they are not known.
func (c *call) resolveOrigin(ctx context.Context) *runworks.Failure {
	if !c.resumedByCaller() {
		return nil
	}
	c.resolvedAt = time.Now()
	origin, err := c.f.Origins.Await(ctx, c.in.Resumes, c.service)
	if err != nil {
		return runworks.NotRun(err, retryRejected)
	}
	if !slices.ContainsFunc(c.route.Shares, func(one runworks.ServiceShare) bool { return one.Service == origin.Service }) {
		return runworks.NotRun(errorx.Decorate(runworks.ErrNoServer, "the stream began at %s, which the route no longer uses", origin.Service), 0)
	}
	c.service, c.origin = origin.Service, origin
	return nil
}

// confirmOrigin returns an error if a server is not of the version that began the stream which the caller resumes, by what is
// known before the first event, or the end, is passed on. The origin of a stream may arrive while it waits for a slot or its prompt is read.
func (c *call) confirmOrigin(server runworks.Instance) error {
	if c.events > 0 || !c.resumedByCaller() {
		return nil
	}
	origin, err := c.f.Origins.AwaitAgain(c.attemptCtx, c.resolvedAt, c.in.Resumes, c.service)
	switch {
	case err != nil:
		return err
	case origin.Service != c.service:
		return errorx.Decorate(runworks.ErrUnknownStream, "the stream began at %s", origin.Service)
	case origin.Version != server.Version:
		c.origin = origin
		return errorx.Decorate(errOutOfOrder, "%s is of version %s, and the stream began at %s", server.ID, server.Version, origin.Version)
	}
	return nil
}

// recordOrigin records the version that brings the first event of a resumable stream. From now on no
// other one continues it.
func (c *call) recordOrigin(now time.Time, server runworks.Instance) {
	if !c.route.Resumable {
		return
	}
	if !c.resumedByCaller() {
		c.origin = runworks.StreamOrigin{Stream: c.in.ID, Service: c.service}
	}
	c.origin.Version = server.Version
	c.f.Origins.Record(now, c.origin, max(c.in.Timeout, c.timeout())+originMargin)
	c.f.Origins.AwaitRecorded(c.attemptCtx, c.origin)
	if !c.resumedByCaller() {
		c.f.Origins.AwaitKnown(c.attemptCtx, c.origin)
	}
}
