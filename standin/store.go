package standin

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"

	"github.com/runworks/runworks/modules/notify"
)

// StoreFaults are the faults that a Store simulates.
type StoreFaults struct {
	// Down responds to every call with status 503.
	Down bool `json:"down"`
	// Unresponsive makes all calls hang, also reads that wait already. These get no response
	// after the fault is cleared either.
	Unresponsive bool `json:"silent"`
	// LoseResponses is the number of appends that take effect and whose connection is aborted.
	LoseResponses int `json:"lose_answers"`
	// SkipWakeups is the number of appends that do not wake waiting reads.
	SkipWakeups int `json:"miss_wakes"`
}

// Store is a fake of the platform's store: keyed topics with one partition each.
// The zero value is ready to use.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	faults StoreFaults
	// hangs counts the changes to Unresponsive. A read that waited across one gets no
	// response.
	hangs   int
	changed notify.Change
	calls   map[string]int
	// restores counts the calls of Restore, and snapshot is what it goes back to.
	restores int64
	snapshot map[string]*topic
}

type topic struct {
	// first is the first retained offset.
	first   int64
	records [][]byte
	newest  map[string]newestRecord
}

type newestRecord struct {
	value  []byte
	offset int64
}

// SetFaults replaces the simulated faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Unresponsive && !s.faults.Unresponsive {
		s.hangs++
		s.changed.Signal()
	}
	s.faults = f
}

// Calls returns the number of calls of a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put appends a record as the platform does. An empty value deletes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(name, append(append([]byte{byte(len(key))}, key...), value...))
}

// Truncate drops the log of a topic. The newest record of each key is retained.
func (s *Store) Truncate(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += int64(len(t.records))
	t.records = nil
	s.changed.Signal()
}

// Snapshot saves a copy of all topics for Restore.
func (s *Store) Snapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = cloneTopics(s.topics)
}

// Restore reverts the store to the last snapshot. Later writes are lost and their offsets are
// assigned again. Without a snapshot the store becomes empty.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = cloneTopics(s.snapshot)
	s.restores++
	s.changed.Signal()
}

// eraLocked returns the era of the store, which rises by 1 with each Restore.
func (s *Store) eraLocked() int64 { return s.restores + 1 }

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

// appendLocked appends a keyed record: one byte with the key's length, the key and the value.
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

const pageHeaderBytes = 16

// page returns the records from an offset on, encoded as the body of a read. It reports gone if
// the offset is not retained or lies past the end.
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
