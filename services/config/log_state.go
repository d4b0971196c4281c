package config

import (
	"encoding/json"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
)

// RecordKind says what a record on the log does.
type RecordKind string

// The kinds of record.
const (
	// RecordApply puts a document in force if its base is the version in force.
	RecordApply RecordKind = "apply"
	// RecordRepublish repeats the document in force, before its record expires.
	RecordRepublish RecordKind = "restate"
)

// Record is what stands on the configuration log.
type Record struct {
	Kind RecordKind `json:"kind"`
	// ID is the apply's own id; the same id counts once.
	ID string `json:"id"`
	// Base is the version the document is based on (apply).
	Base int64 `json:"base,omitempty"`
	// Version is the version in force as of offset AsOf (restate).
	Version int64 `json:"version,omitempty"`
	AsOf    int64 `json:"as_of,omitempty"`
	// Config is the whole document.
	Config *runworks.Config `json:"config"`
}

// Encode gives the bytes for the log.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errorx.Decorate(err, "encode a configuration record")
	}
	return data, nil
}

// Result is what the fold decided about an apply.
type Result struct {
	Accepted bool
	// Version is the version in force after the record.
	Version int64
}

// LogState decides which document is in force: a pure function of the log, so that
// all readers agree without talking. Start it before the first record.
type LogState struct {
	// Version is the version in force; 0 before the first.
	Version int64
	// Config is the document in force; nil before the first.
	Config *runworks.Config
	// Next is the offset of the next record to read.
	Next int64
	// DocumentOffset is the offset of the last record that carried the document in force.
	DocumentOffset int64
	// Results holds the decision about each apply that was seen, by its id.
	Results map[string]Result

	// first is the offset of the first record seen.
	first int64
	// based is set once Version is known to follow from the whole log before.
	based bool
	// pending holds records seen before a basis was found.
	pending []pendingRecord
	// order holds the ids of Results, oldest first, to bound them.
	order []string
}

type pendingRecord struct {
	offset int64
	record Record
}

const maxResults = 10_000

// Reset sets the offset of the first record to come; a log that is whole from
// its first offset is a basis by itself.
func (f *LogState) Reset(first int64) {
	*f = LogState{Next: first, first: first, based: first == 0}
}

// Synced says whether the version in force is known.
func (f *LogState) Synced() bool { return f.based }

// Add takes the next record. What can't be decoded counts as no record, for
// every reader alike.
func (f *LogState) Add(rec runworks.LogRecord) {
	f.Next = rec.Offset + 1
	var r Record
	if err := json.Unmarshal(rec.Data, &r); err != nil || r.Config == nil {
		return
	}
	if f.based {
		f.decide(rec.Offset, &r)
		return
	}
	f.pending = append(f.pending, pendingRecord{offset: rec.Offset, record: r})
	if r.Kind == RecordRepublish {
		f.tryBase(&r)
	}
}

// tryBase starts from a restated document if every record after the offset it
// speaks for has been seen.
func (f *LogState) tryBase(r *Record) {
	if r.AsOf+1 < f.first {
		return
	}
	f.based = true
	f.Version = r.Version
	f.Config = r.Config
	pending := f.pending
	f.pending = nil
	for i := range pending {
		if pending[i].offset > r.AsOf {
			f.decide(pending[i].offset, &pending[i].record)
		}
	}
}

// decide accepts an apply that is based on the version in force and has no
// mistakes. A restated document never changes the version.
func (f *LogState) decide(offset int64, r *Record) {
	if r.Kind == RecordRepublish && r.Version == f.Version {
		f.DocumentOffset = offset
	}
	if r.Kind != RecordApply {
		return
	}
	accepted := r.Base == f.Version && len(Check(r.Config)) == 0
	if accepted {
		f.Version++
		f.Config = r.Config
		f.DocumentOffset = offset
	}
	f.remember(r.ID, Result{Accepted: accepted, Version: f.Version})
}

// remember keeps the decision about an id, and forgets the oldest ones. The same
// record twice counts once by its base alone; its first acceptance stands.
func (f *LogState) remember(id string, result Result) {
	if before, again := f.Results[id]; again && (before.Accepted || !result.Accepted) {
		return
	}
	if f.Results == nil {
		f.Results = make(map[string]Result)
	}
	f.Results[id] = result
	f.order = append(f.order, id)
	if len(f.order) > maxResults {
		delete(f.Results, f.order[0])
		f.order = f.order[1:]
	}
}
