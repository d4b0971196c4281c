package config

import (
	"encoding/json"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
)

// RecordKind is the kind of a log record.
type RecordKind string

// Kinds of record.
const (
	// RecordApply makes a document active if its base is the active version.
	RecordApply RecordKind = "apply"
	// RecordRepublish repeats the active document before its record expires.
	RecordRepublish RecordKind = "restate"
)

// Record is one record of the configuration log.
type Record struct {
	Kind RecordKind `json:"kind"`
	// ID identifies the apply; a repeated record has the same ID.
	ID string `json:"id"`
	// Base is the version that the document is based on (RecordApply).
	Base int64 `json:"base,omitempty"`
	// Version is the active version as of offset AsOf (RecordRepublish).
	Version int64 `json:"version,omitempty"`
	AsOf    int64 `json:"as_of,omitempty"`
	// Config is the complete document.
	Config *runworks.Config `json:"config"`
}

// Encode returns the JSON encoding of the record.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errorx.Decorate(err, "encode a configuration record")
	}
	return data, nil
}

// Result is the outcome of an apply.
type Result struct {
	Accepted bool
	// Version is the active version after the record.
	Version int64
}

// LogState derives the active document from the log. It is a pure function of the records, so
// that all readers agree without coordination. Call Reset before the first Add.
type LogState struct {
	// Version is the active version; 0 before the first.
	Version int64
	// Config is the active document; nil before the first.
	Config *runworks.Config
	// Next is the offset of the next record to read.
	Next int64
	// DocumentOffset is the offset of the last record that contains the active document.
	DocumentOffset int64
	// Results holds the outcome of the latest applies by record ID.
	Results map[string]Result

	// first is the offset of the first record seen.
	first int64
	// synced is set once Version is known to account for all earlier records.
	synced bool
	// pending holds the records seen before the state is synced.
	pending []pendingRecord
	// resultOrder lists the keys of Results, oldest first, to limit their number.
	resultOrder []string
}

type pendingRecord struct {
	offset int64
	record Record
}

const maxResults = 10_000

// Reset sets the offset of the first record to come. A log that is complete from offset 0
// needs no republished document to be synced.
func (s *LogState) Reset(first int64) {
	*s = LogState{Next: first, first: first, synced: first == 0}
}

// Synced reports whether the active version is known.
func (s *LogState) Synced() bool { return s.synced }

// Add applies the next record. One that can't be decoded is ignored, by every reader alike.
func (s *LogState) Add(rec runworks.LogRecord) {
	s.Next = rec.Offset + 1
	var r Record
	if err := json.Unmarshal(rec.Data, &r); err != nil || r.Config == nil {
		return
	}
	if s.synced {
		s.decide(rec.Offset, &r)
		return
	}
	s.pending = append(s.pending, pendingRecord{offset: rec.Offset, record: r})
	if r.Kind == RecordRepublish {
		s.trySync(&r)
	}
}

// trySync starts from a republished document if every record after its offset AsOf was seen.
func (s *LogState) trySync(r *Record) {
	if r.AsOf+1 < s.first {
		return
	}
	s.synced = true
	s.Version = r.Version
	s.Config = r.Config
	pending := s.pending
	s.pending = nil
	for i := range pending {
		if pending[i].offset > r.AsOf {
			s.decide(pending[i].offset, &pending[i].record)
		}
	}
}

// decide accepts an apply that is based on the active version and has no mistakes. A
// republished document never changes the version.
func (s *LogState) decide(offset int64, r *Record) {
	if r.Kind == RecordRepublish && r.Version == s.Version {
		s.DocumentOffset = offset
	}
	if r.Kind != RecordApply {
		return
	}
	accepted := r.Base == s.Version && len(Check(r.Config)) == 0
	if accepted {
		s.Version++
		s.Config = r.Config
		s.DocumentOffset = offset
	}
	s.storeResult(r.ID, Result{Accepted: accepted, Version: s.Version})
}

// storeResult stores the outcome of an apply and drops the oldest ones. If a record appears
// twice, its first acceptance is kept: the second is rejected by its base.
func (s *LogState) storeResult(id string, result Result) {
	if before, again := s.Results[id]; again && (before.Accepted || !result.Accepted) {
		return
	}
	if s.Results == nil {
		s.Results = make(map[string]Result)
	}
	s.Results[id] = result
	s.resultOrder = append(s.resultOrder, id)
	if len(s.resultOrder) > maxResults {
		delete(s.Results, s.resultOrder[0])
		s.resultOrder = s.resultOrder[1:]
	}
}
