package daemon

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/patch"
	"github.com/runworks/runworks/modules/pause"
	"github.com/runworks/runworks/platform"
	"github.com/runworks/runworks/services/peers"
)

const (
	// maxChangeBytes limits a change that a front sends to the others, and that it accepts. The
	// others request or read larger ones.
	maxChangeBytes = 1 << 20
	// patchBytes is the size of a record from which it is sent as a patch.
	patchBytes = 1 << 10
	// catchUpGrace, plus a random part of catchUpSpread, is how long a front that is behind waits
	// for the change to arrive before it requests it: several times what a change takes through
	// all fronts. The spread keeps the fronts that missed the same change from requesting it at
	// once.
	catchUpGrace         = 150 * time.Millisecond
	catchUpSpread        = 500 * time.Millisecond
	catchUpSpreadPerPeer = 5 * time.Millisecond
	// catchUpTries is the number of other fronts that are asked before the store is read.
	catchUpTries = 2
)

// announcement is how far another front has read a subject.
type announcement struct {
	from     string
	position runworks.Position
}

// catchUp is the state of catching up with the other fronts on a subject.
type catchUp struct {
	running atomic.Bool
	// ahead is the latest announcement of a position that this front has not reached.
	ahead atomic.Pointer[announcement]
}

// sendChange sends a change that was read from the store to the other fronts.
func (d *Front) sendChange(subject peers.Subject, c *platform.Change) {
	out, err := encodeChange(subject, c, true)
	if err != nil {
		d.Logger.Error("change could not be encoded; the other fronts request or read it", "subject", subject, "error", err.Error())
		return
	}
	d.exchange.SendChange(*out)
}

// encodeChange returns a change for other fronts: long records as patches, of their previous values
// if patched is set. The error is for one that is too large.
func encodeChange(subject peers.Subject, c *platform.Change, patched bool) (*peers.Change, error) {
	out := &peers.Change{Subject: subject, From: c.From, Next: c.Next}
	size := 0
	for _, r := range platform.LatestLong(c.Records) {
		if len(r.Value) < patchBytes {
			out.Records = append(out.Records, r)
			size += len(r.Key) + len(r.Value)
			continue
		}
		base := c.Previous[r.Key]
		if !patched {
			base = nil
		}
		data, err := patch.Make(base, r.Value)
		if err != nil {
			return nil, err
		}
		out.Patches = append(out.Patches, peers.Patch{Key: r.Key, Data: data, Whole: len(base) == 0})
		size += len(r.Key) + len(data)
	}
	if size > maxChangeBytes {
		return nil, errorx.IllegalArgument.New("change of %d bytes", size)
	}
	return out, nil
}

// applyChange applies a change that another front read from the store.
func (d *Front) applyChange(from string, c *peers.Change) {
	w := d.watches[c.Subject]
	if w == nil || !c.Next.After(w.Position()) {
		return
	}
	records := c.Records
	for _, p := range c.Patches {
		var base []byte
		if !p.Whole {
			base = w.Value(p.Key)
		}
		value, err := patch.Apply(base, p.Data, maxChangeBytes)
		if err != nil {
			d.Logger.Warn("change of another front could not be applied; requesting it", "name", from, "subject", c.Subject, "key", p.Key, "error", err.Error())
			d.catchUp(from, c.Subject, c.Next)
			return
		}
		records = append(records, platform.Record{Key: p.Key, Value: value})
	}
	if w.ApplyChanges(c.From, c.Next, records) != nil {
		d.Logger.Info("applied changes from another front", "name", from, "subject", c.Subject, "era", c.Next.Era, "from_offset", c.From.Offset, "offset", c.Next.Offset, "records", len(records))
	}
}

// changesSince returns the changes of a subject since a position, for another front.
func (d *Front) changesSince(subject peers.Subject, since runworks.Position) (*peers.Change, error) {
	w := d.watches[subject]
	if w == nil {
		return nil, errorx.IllegalArgument.New("%s is not followed", subject)
	}
	c, ok := w.ChangesSince(since)
	if !ok {
		return nil, errorx.Decorate(runworks.ErrTruncated, "changes of %s since %d", subject, since.Offset)
	}
	return encodeChange(subject, c, false)
}

// catchUp gets the changes of a subject up to the position of another front, if they do not arrive:
// from a front that has them, else from the store. While the store can't be read, it gets the whole
// state from the other front.
func (d *Front) catchUp(from string, subject peers.Subject, position runworks.Position) {
	w := d.watches[subject]
	if w == nil || !position.After(w.Position()) {
		return
	}
	if !w.Loaded() {
		if w.StoreLost() {
			d.requestOnce(subject, func() { d.syncFromPeer(from, subject, w) })
		}
		return
	}
	c := d.catchUps[subject]
	c.ahead.Store(&announcement{from: from, position: position})
	if !c.running.CompareAndSwap(false, true) {
		return
	}
	d.work.Go(func() {
		defer c.running.Store(false)
		spread := min(catchUpSpread, time.Duration(d.exchange.LiveCount())*catchUpSpreadPerPeer)
		pause.For(d.ctx, catchUpGrace+rand.N(spread+1))
		d.requestChanges(subject, w, c)
	})
}

// requestChanges requests what is missing from the fronts that announced it last, then from the
// store.
func (d *Front) requestChanges(subject peers.Subject, w *platform.Watch, c *catchUp) {
	for range catchUpTries {
		a := c.ahead.Load()
		if !a.position.After(w.Position()) {
			return
		}
		if a.position.Era != w.Position().Era {
			break
		}
		change, err := d.exchange.RequestChanges(d.ctx, a.from, subject, w.Position())
		if err != nil {
			d.Logger.Warn("request for changes of another front failed", "name", a.from, "subject", subject, "error", err.Error())
			continue
		}
		d.applyChange(a.from, change)
	}
	a := c.ahead.Load()
	switch {
	case !a.position.After(w.Position()):
	case w.StoreLost():
		d.requestOnce(subject, func() { d.syncFromPeer(a.from, subject, w) })
	default:
		w.NotifyPosition(a.position)
	}
}
