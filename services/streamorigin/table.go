package streamorigin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/notify"
)

const (
	// maxOrigins bounds the known streams to some 15 MB; the oldest are dropped.
	maxOrigins = 1 << 16
	// maxListed bounds the streams of List.
	maxListed = 1 << 12
	// arrivalTimeout is how long Await waits: several times as long as a message takes between two
	// entries of different regions.
	arrivalTimeout = 100 * time.Millisecond
)

// Table holds the origins of streams at one entry, and the versions that may have begun others. The zero
// value is usable. The exported fields must be set before use; a nil Send keeps all origins here.
type Table struct {
	// Send sends origins to the other entries. It is called with a lock held and must not block.
	Send func(list []runworks.StreamOrigin)
	// OnVersions is called when Unrecorded may have changed; nil if there is no durable record. It is
	// called with a lock held and must not block.
	OnVersions func()
	// Isolated reports whether this entry is cut off from the list of servers and from all other entries,
	// so that newer versions may serve; nil means that it never is.
	Isolated func() bool
	// Stops returns how often this entry was stopped: it did not run, and may lack what happened meanwhile. Update then reads
	// the list of servers, and after a stop the streams and versions that the other entries know; it reports whether no version
	// is missing. Nil means that the entry is never stopped.
	Stops  func() int
	Update func(stopped bool) bool
	// AskEntries reads the streams that the other entries know, and reports whether all that are heard answered. Nil means that
	// there is no other entry.
	AskEntries func() bool
	// MissesEntry reports whether another entry is not heard, or was recently: this one may be cut off and not have noticed, so that
	// Update is called as after a stop. Nil means never.
	MissesEntry func() bool
	// Alone reports whether no other entry is heard, so that Update is called as well: the silence of none can show a cut. Nil means never.
	Alone func() bool
	// Position returns up to where this entry knows the list of servers, and AllKnow whether all others do up to a position; a nil
	// AllKnow means that there is none.
	Position func() runworks.Position
	AllKnow  func(position runworks.Position) bool
	// Started is when this entry started. Until ApplyVersions, or for versionMemory, versions that served
	// before are unknown; zero if none did.
	Started time.Time

	mu sync.Mutex
	// arrived is signaled when origins of other entries arrive.
	arrived notify.Change
	// origins holds the origin of each known stream, and order their IDs from the oldest on.
	origins map[runworks.RequestID]origin
	order   []runworks.RequestID
	// versions holds the versions that count, by service, and those that do not until Forget. listed is set
	// by the first SetServers, and loaded by ApplyVersions.
	versions       map[string]versions
	listed, loaded bool
	stops          stops
	asks           asks
	// moved holds until when routes may have moved streams of a service.
	moved map[string]time.Time
}

// origin is what is known of a stream.
type origin struct {
	service, version string
	// expires is until when the caller may resume the stream.
	expires time.Time
	// own is set if the stream began at this entry.
	own bool
}

// Record records a stream that began, or that is resumed, at this entry. keep is how long its caller may
// resume it.
func (t *Table) Record(now time.Time, o runworks.StreamOrigin, keep time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o.LeftMs = keep.Milliseconds()
	t.extendLocked(now, o)
	if t.addLocked(now, o, true) && t.isMixedLocked(now, o.Service) {
		t.sendLocked([]runworks.StreamOrigin{o})
	}
}

// Apply records streams that began at other entries.
func (t *Table) Apply(now time.Time, list []runworks.StreamOrigin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changeVersionsLocked(now, func() {
		for _, o := range list {
			if t.addLocked(now, o, false) {
				t.extendLocked(now, o)
			}
		}
	})
	t.arrived.Signal()
}

// addLocked adds a stream and reports whether it was unknown. What is known of a stream stays: its first
// event decides its version.
func (t *Table) addLocked(now time.Time, o runworks.StreamOrigin, own bool) bool {
	t.pruneLocked(now)
	if _, known := t.origins[o.Stream]; known || o.Stream == "" || o.LeftMs <= 0 {
		return false
	}
	if t.origins == nil {
		t.origins = make(map[runworks.RequestID]origin)
	}
	t.origins[o.Stream] = origin{service: o.Service, version: o.Version, expires: now.Add(time.Duration(o.LeftMs) * time.Millisecond), own: own}
	t.order = append(t.order, o.Stream)
	return true
}

// pruneLocked drops the oldest streams while they are expired or too many.
func (t *Table) pruneLocked(now time.Time) {
	n := 0
	for n < len(t.order) && (len(t.order)-n >= maxOrigins || !now.Before(t.origins[t.order[n]].expires)) {
		delete(t.origins, t.order[n])
		n++
	}
	t.order = t.order[n:]
}

// List returns the newest known streams of services whose servers have several versions.
func (t *Table) List(now time.Time) []runworks.StreamOrigin {
	t.mu.Lock()
	defer t.mu.Unlock()
	mixed := t.mixedLocked(now)
	return t.listLocked(now, func(o origin) bool { return mixed[o.service] })
}

// listLocked returns the newest streams that match, from the oldest on.
func (t *Table) listLocked(now time.Time, match func(o origin) bool) []runworks.StreamOrigin {
	var out []runworks.StreamOrigin
	for _, id := range slices.Backward(t.order) {
		o := t.origins[id]
		if !now.Before(o.expires) || !match(o) {
			continue
		}
		out = append(out, runworks.StreamOrigin{Stream: id, Service: o.service, Version: o.version, LeftMs: max(o.expires.Sub(now).Milliseconds(), 1)})
		if len(out) == maxListed {
			break
		}
	}
	slices.Reverse(out)
	return out
}

func (t *Table) sendLocked(list []runworks.StreamOrigin) {
	if t.Send != nil && len(list) > 0 {
		t.Send(list)
	}
}

// Resolve returns the service and version that began a stream which a caller resumes. service is the
// one that the stream has by its route. An unknown stream is of the only version that may have begun
// streams of the service. If there are several or none, or if those before the start of this entry or the
// newest ones may not be known, the error is ErrUnknownStream.
func (t *Table) Resolve(now time.Time, stream runworks.RequestID, service string) (runworks.StreamOrigin, error) {
	return t.resolve(now, lookup{since: now}, stream, service)
}

// resolve is Resolve for a caller that came at a time: what was read of the other entries shortly before that, or since, counts.
func (t *Table) resolve(now time.Time, l lookup, stream runworks.RequestID, service string) (runworks.StreamOrigin, error) {
	isolated, behind := t.Isolated != nil && t.Isolated(), t.isBehind(l) // without the lock, under which the list of servers calls SetServers
	t.mu.Lock()
	defer t.mu.Unlock()
	if o, ok := t.origins[stream]; ok && now.Before(o.expires) {
		return runworks.StreamOrigin{Stream: stream, Service: o.service, Version: o.version}, nil
	}
	out := runworks.StreamOrigin{Stream: stream, Service: service}
	if isolated {
		return out, errorx.Decorate(runworks.ErrUnknownStream, "newer versions of %s may serve than this entry knows", service)
	}
	if behind {
		return out, errorx.Decorate(runworks.ErrUnknownStream, "newer versions of %s may serve than this entry knew before it was stopped", service)
	}
	if !t.knowsVersionsLocked(now) {
		return out, errorx.Decorate(runworks.ErrUnknownStream, "the versions of %s before the start are unknown", service)
	}
	current := t.versions[service].current(now)
	if len(current) != 1 {
		return out, errorx.Decorate(runworks.ErrUnknownStream, "%d versions of %s may have begun it", len(current), service)
	}
	out.Version = current[0]
	return out, nil
}

// Await is Resolve that waits for the origin of an unknown stream, as it may be on its way from the
// entry where the stream began. After a stop of this entry it waits for what the others know since. A stream whose route was
// shared out is unknown unless the other entries say that they do not know it.
func (t *Table) Await(ctx context.Context, stream runworks.RequestID, service string) (runworks.StreamOrigin, error) {
	return t.await(ctx, lookup{since: time.Now()}, stream, service)
}

// AwaitAgain is Await for a caller that came, and whose stream was resolved, at an earlier time. Stops since then do not matter.
func (t *Table) AwaitAgain(ctx context.Context, since time.Time, stream runworks.RequestID, service string) (runworks.StreamOrigin, error) {
	return t.await(ctx, lookup{since: since, resolved: true}, stream, service)
}

func (t *Table) await(ctx context.Context, l lookup, stream runworks.RequestID, service string) (runworks.StreamOrigin, error) {
	if !t.knows(time.Now(), stream) {
		t.awaitUpdate(ctx, l)
	}
	ctx, cancel := context.WithTimeout(ctx, arrivalTimeout)
	defer cancel()
	for {
		t.mu.Lock()
		arrived := t.arrived.Wait()
		t.mu.Unlock()
		out, err := t.resolve(time.Now(), l, stream, service)
		if err == nil && !t.mayArrive(stream, service) || stream == "" {
			return out, err
		}
		select {
		case <-arrived:
		case <-ctx.Done():
			if err != nil {
				return out, err
			}
			return t.askEntries(l, stream, service)
		}
	}
}

// knows reports whether the origin of a stream is known.
func (t *Table) knows(now time.Time, stream runworks.RequestID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.origins[stream]
	return ok && now.Before(o.expires)
}

// Len returns the number of known streams.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.origins)
}
