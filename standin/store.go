package standin

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"

	"github.com/runworks/runworks/modules/notify"
)

// StoreFaults are the store's settable faults.
type StoreFaults struct {
	// Down answers every call with 503.
	Down bool `json:"down"`
	// Unresponsive answers no call, nor those that wait; they get no answer later either.
	Unresponsive bool `json:"silent"`
	// LoseResponses makes that many appends take effect and cuts their connections.
	LoseResponses int `json:"lose_answers"`
	// SkipWakeups makes that many appends wake no read that waits.
	SkipWakeups int `json:"miss_wakes"`
}

// Store is a stand-in for the platform's store: keyed topics of one partition.
// The zero value is ready.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	faults StoreFaults
	// silences is how often the store fell silent.
	silences int
	changed  notify.Change
	calls    map[string]int
	// returns is how often the store came back from a copy, and copied the copy.
	returns int64
	copied  map[string]*topic
}

type topic struct {
	// first is the first offset retained.
	first   int64
	records [][]byte
	newest  map[string]newestRecord
}

type newestRecord struct {
	value  []byte
	offset int64
}

// SetFaults sets the faults from now on.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Unresponsive && !s.faults.Unresponsive {
		s.silences++
		s.changed.Signal()
	}
	s.faults = f
}

// Calls gives how often a path was called.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put appends a record, as the platform itself does; an empty value drops the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(name, append(append([]byte{byte(len(key))}, key...), value...))
}

// Truncate drops the history of a topic; the newest records stay.
func (s *Store) Truncate(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += int64(len(t.records))
	t.records = nil
	s.changed.Signal()
}

// Snapshot keeps a copy of all topics as they stand.
func (s *Store) Snapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = cloneTopics(s.topics)
}

// Restore goes back to the last copy: what was written since is gone, and its offsets are given
// out again. Without a copy the store is empty.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = cloneTopics(s.copied)
	s.returns++
	s.changed.Signal()
}

// eraLocked numbers the times between two returns.
func (s *Store) eraLocked() int64 { return s.returns + 1 }

func cloneTopics(all map[string]*topic) map[string]*topic {
	out := make(map[string]*topic, len(all))
	for name, t := range all {
		out[name] = &topic{first: t.first, records: slices.Clone(t.records), newest: maps.Clone(t.newest)}
	}
	return out
}

func (s *Store) topic(name string) *topic {
	if s.topics == nil {
		s.topics = make(map[string]*topic)
	}
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]newestRecord)}
		s.topics[name] = t
	}
	return t
}

// appendLocked takes a keyed record: the key's length, the key and the value.
func (s *Store) appendLocked(name string, record []byte) int64 {
	t := s.topic(name)
	offset := t.first + int64(len(t.records))
	t.records = append(t.records, record)
	key, value := string(record[1:1+record[0]]), record[1+record[0]:]
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = newestRecord{value: value, offset: offset}
	}
	if s.faults.SkipWakeups > 0 {
		s.faults.SkipWakeups--
	} else {
		s.changed.Signal()
	}
	return offset
}

const pageHeadBytes = 16

// page gives the records from an offset on, in the form of a read.
func (t *topic) page(from int64) (page []byte, gone bool) {
	end := t.first + int64(len(t.records))
	if from < t.first || from > end {
		return nil, true
	}
	page = binary.BigEndian.AppendUint64(nil, uint64(end))
	page = binary.BigEndian.AppendUint64(page, uint64(t.first))
	for i := from - t.first; i < int64(len(t.records)); i++ {
		page = binary.BigEndian.AppendUint32(page, uint32(len(t.records[i])))
		page = append(page, t.records[i]...)
	}
	return page, false
}
