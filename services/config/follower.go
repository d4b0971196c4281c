package config

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/notify"
)

const (
	defaultPoll    = time.Second
	defaultRestate = 10 * time.Minute
	restateJitter  = 0.5
	maxPagesInARow = 1000
	restateTimeout = 5 * time.Second
)

// Follower keeps the configuration in force: from the log, and from peers when
// the log can't be read. Set the exported fields before Run.
type Follower struct {
	// Log is the platform's log service.
	Log runworks.LogService
	// PollInterval is the time between reads of the log.
	PollInterval time.Duration
	// RepublishInterval is how long after the document last stood on the log it is put
	// there again; keep it well inside the log's retention time.
	RepublishInterval time.Duration
	// Logger gets a line for each change of state.
	Logger hclog.Logger
	// OnChange is told about each new configuration in force; it may be nil.
	OnChange func(*Snapshot)

	mu       sync.Mutex
	fold     LogState
	started  bool
	inForce  *Snapshot
	changed  notify.Change
	restated time.Time
	restateD time.Duration
	readAt   time.Time
	outage   bool
}

// Active gives the configuration in force; nil before the first.
func (f *Follower) Active() *Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inForce
}

// Version gives the version in force; 0 before the first.
func (f *Follower) Version() int64 {
	if now := f.Active(); now != nil {
		return now.Version
	}
	return 0
}

// LastRead gives the time of the last successful read of the log.
func (f *Follower) LastRead() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readAt
}

// Wait waits until a configuration is in force.
func (f *Follower) Wait(ctx context.Context) (*Snapshot, error) {
	for {
		f.mu.Lock()
		now, wait := f.inForce, f.changed.Wait()
		f.mu.Unlock()
		if now != nil {
			return now, nil
		}
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-wait:
		}
	}
}

// Run follows the log until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	if f.PollInterval <= 0 {
		f.PollInterval = defaultPoll
	}
	if f.RepublishInterval <= 0 {
		f.RepublishInterval = defaultRestate
	}
	ticker := time.NewTicker(f.PollInterval)
	defer ticker.Stop()
	for {
		f.catchUp(ctx)
		f.restateIfDue(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ApplyDocument takes a document that a peer has in force; an older one is passed over.
func (f *Follower) ApplyDocument(version int64, cfg *runworks.Config) {
	if cfg == nil || len(Check(cfg)) > 0 {
		return
	}
	f.put(version, cfg)
}

// catchUp reads to the head of the log.
func (f *Follower) catchUp(ctx context.Context) {
	for range maxPagesInARow {
		more, err := f.readPage(ctx)
		f.noteOutage(err)
		if err != nil || !more {
			return
		}
	}
}

// readPage reads and folds one page; more says that the head is not reached.
func (f *Follower) readPage(ctx context.Context) (more bool, err error) {
	f.mu.Lock()
	from := f.fold.Next
	started := f.started
	f.mu.Unlock()
	page, err := f.Log.Read(ctx, from)
	if errors.Is(err, runworks.ErrTruncated) && page != nil {
		f.restart(page.First)
		return true, nil
	}
	if err != nil {
		return false, err
	}
	if !started {
		f.restart(from)
	}
	return f.take(page), nil
}

// restart begins the fold at an offset; the configuration in force stays.
func (f *Follower) restart(first int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = true
	f.fold.Reset(first)
}

// take folds a page and puts what it decides in force.
func (f *Follower) take(page *runworks.LogPage) (more bool) {
	f.mu.Lock()
	stated := f.fold.DocumentOffset
	for _, rec := range page.Records {
		if rec.Offset >= f.fold.Next {
			f.fold.Add(rec)
		}
	}
	if f.fold.DocumentOffset != stated || f.restated.IsZero() {
		f.restated, f.restateD = time.Now(), jittered(f.RepublishInterval)
	}
	f.readAt = time.Now()
	atHead := f.fold.Next >= page.Next
	version, cfg := f.fold.Version, f.fold.Config
	based := f.fold.Synced()
	f.mu.Unlock()
	if atHead && based && cfg != nil {
		f.put(version, cfg)
	}
	return !atHead && len(page.Records) > 0
}

// put puts a document in force unless a newer one, or the same, is.
func (f *Follower) put(version int64, cfg *runworks.Config) {
	if version <= f.Version() {
		return
	}
	now := NewSnapshot(version, cfg)
	f.mu.Lock()
	if f.inForce != nil && f.inForce.Version >= version {
		f.mu.Unlock()
		return
	}
	f.inForce = now
	f.changed.Signal()
	f.mu.Unlock()
	f.Logger.Info("configuration in force", "version", version)
	if f.OnChange != nil {
		f.OnChange(now)
	}
}

// restateIfDue puts the document on the log again before its record expires.
// The jitter makes about one process do so; more of them do no harm.
func (f *Follower) restateIfDue(ctx context.Context) {
	f.mu.Lock()
	due := f.fold.Synced() && f.fold.Config != nil && time.Since(f.restated) >= f.restateD
	r := Record{Kind: RecordRepublish, ID: uuid.NewString(), Version: f.fold.Version, AsOf: f.fold.Next - 1, Config: f.fold.Config}
	if due {
		f.restated, f.restateD = time.Now(), jittered(f.RepublishInterval)
	}
	f.mu.Unlock()
	if !due {
		return
	}
	data, err := r.Encode()
	if err != nil {
		f.Logger.Error("restate the configuration", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, restateTimeout)
	defer cancel()
	if _, err := f.Log.Append(ctx, data); err != nil {
		f.noteOutage(err)
	}
}

// noteOutage logs when the log service goes away and when it comes back.
func (f *Follower) noteOutage(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if (err != nil) == f.outage {
		return
	}
	f.outage = err != nil
	if f.outage {
		f.Logger.Warn("log service out of reach, going on with the configuration in force", "error", err)
		return
	}
	f.Logger.Info("log service reached")
}

// jittered gives a time between d and d by 1 + restateJitter.
func jittered(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*restateJitter*float64(d))
}
