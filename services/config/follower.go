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
	defaultPollInterval      = time.Second
	defaultRepublishInterval = 10 * time.Minute
	republishJitter          = 0.5
	maxPagesPerPoll          = 1000
	republishTimeout         = 5 * time.Second
)

// Follower keeps track of the active configuration, from the log, or from peers while the log
// can't be read. Set the exported fields before Run.
type Follower struct {
	// Log is the platform's log service.
	Log runworks.LogService
	// PollInterval is the time between reads of the log; 0 means one second.
	PollInterval time.Duration
	// RepublishInterval is the time after which a document is appended to the log again; 0 means
	// 10 minutes. It must be well below the log's retention time.
	RepublishInterval time.Duration
	// Logger logs each change of state.
	Logger hclog.Logger
	// OnChange is called with each new active configuration. It may be nil.
	OnChange func(*Snapshot)

	mu             sync.Mutex
	state          LogState
	started        bool
	active         *Snapshot
	changed        notify.Change
	publishedAt    time.Time
	republishAfter time.Duration
	lastRead       time.Time
	outage         bool
}

// Active returns the active configuration; nil before the first.
func (f *Follower) Active() *Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active
}

// Version returns the active version; 0 before the first.
func (f *Follower) Version() int64 {
	if snapshot := f.Active(); snapshot != nil {
		return snapshot.Version
	}
	return 0
}

// LastRead returns the time of the last successful read of the log.
func (f *Follower) LastRead() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastRead
}

// Wait waits until a configuration is active.
func (f *Follower) Wait(ctx context.Context) (*Snapshot, error) {
	for {
		f.mu.Lock()
		snapshot, wait := f.active, f.changed.Wait()
		f.mu.Unlock()
		if snapshot != nil {
			return snapshot, nil
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
		f.PollInterval = defaultPollInterval
	}
	if f.RepublishInterval <= 0 {
		f.RepublishInterval = defaultRepublishInterval
	}
	ticker := time.NewTicker(f.PollInterval)
	defer ticker.Stop()
	for {
		f.readToHead(ctx)
		f.republishIfDue(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ApplyDocument applies a document that is active at a peer. An older or invalid one is
// ignored.
func (f *Follower) ApplyDocument(version int64, cfg *runworks.Config) {
	if cfg == nil || len(Check(cfg)) > 0 {
		return
	}
	f.activate(version, cfg)
}

// readToHead reads to the head of the log.
func (f *Follower) readToHead(ctx context.Context) {
	for range maxPagesPerPoll {
		more, err := f.readPage(ctx)
		f.logOutage(err)
		if err != nil || !more {
			return
		}
	}
}

// readPage reads and applies one page. more reports whether there is more to read.
func (f *Follower) readPage(ctx context.Context) (more bool, err error) {
	f.mu.Lock()
	from := f.state.Next
	started := f.started
	f.mu.Unlock()
	page, err := f.Log.Read(ctx, from)
	if errors.Is(err, runworks.ErrTruncated) && page != nil {
		f.reset(page.First)
		return true, nil
	}
	if err != nil {
		return false, err
	}
	if !started {
		f.reset(from)
	}
	return f.applyPage(page), nil
}

// reset restarts the log state at an offset. The active configuration is kept.
func (f *Follower) reset(first int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = true
	f.state.Reset(first)
}

// applyPage adds the records of a page and activates the resulting document at the head of the
// log.
func (f *Follower) applyPage(page *runworks.LogPage) (more bool) {
	f.mu.Lock()
	documentOffset := f.state.DocumentOffset
	for _, rec := range page.Records {
		if rec.Offset >= f.state.Next {
			f.state.Add(rec)
		}
	}
	if f.state.DocumentOffset != documentOffset || f.publishedAt.IsZero() {
		f.publishedAt, f.republishAfter = time.Now(), jittered(f.RepublishInterval)
	}
	f.lastRead = time.Now()
	atHead := f.state.Next >= page.Next
	version, cfg := f.state.Version, f.state.Config
	synced := f.state.Synced()
	f.mu.Unlock()
	if atHead && synced && cfg != nil {
		f.activate(version, cfg)
	}
	return !atHead && len(page.Records) > 0
}

// activate makes a document active unless the same version or a newer one is active.
func (f *Follower) activate(version int64, cfg *runworks.Config) {
	if version <= f.Version() {
		return
	}
	snapshot := NewSnapshot(version, cfg)
	f.mu.Lock()
	if f.active != nil && f.active.Version >= version {
		f.mu.Unlock()
		return
	}
	f.active = snapshot
	f.changed.Signal()
	f.mu.Unlock()
	f.Logger.Info("configuration active", "version", version)
	if f.OnChange != nil {
		f.OnChange(snapshot)
	}
}

// republishIfDue appends the document to the log again before its record expires. With the
// jitter, usually only one process does so; duplicates are harmless.
func (f *Follower) republishIfDue(ctx context.Context) {
	f.mu.Lock()
	due := f.state.Synced() && f.state.Config != nil && time.Since(f.publishedAt) >= f.republishAfter
	r := Record{Kind: RecordRepublish, ID: uuid.NewString(), Version: f.state.Version, AsOf: f.state.Next - 1, Config: f.state.Config}
	if due {
		f.publishedAt, f.republishAfter = time.Now(), jittered(f.RepublishInterval)
	}
	f.mu.Unlock()
	if !due {
		return
	}
	data, err := r.Encode()
	if err != nil {
		f.Logger.Error("republish the configuration", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, republishTimeout)
	defer cancel()
	if _, err := f.Log.Append(ctx, data); err != nil {
		f.logOutage(err)
	}
}

// logOutage logs when the log service becomes unreachable and when it can be reached again.
func (f *Follower) logOutage(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if (err != nil) == f.outage {
		return
	}
	f.outage = err != nil
	if f.outage {
		f.Logger.Warn("log service unreachable; keeping the active configuration", "error", err)
		return
	}
	f.Logger.Info("log service reachable again")
}

// jittered returns a random duration between d and d*(1+republishJitter).
func jittered(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*republishJitter*float64(d))
}
