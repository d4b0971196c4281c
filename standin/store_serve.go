package standin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"time"
)

// headerStoreEra carries the era of the store, which changes when the store is restored.
const headerStoreEra = "Store-Era"

// paramExpectedEnd is the parameter of an append that must take effect only if the partition ends
// at this offset.
const paramExpectedEnd = "currentRev"

// Handler returns a handler of the store's protocol, with the faults at POST /control, Put at
// POST /put, Snapshot at POST /copy, Restore at POST /return, and the calls by path at GET /calls.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.serveAppend)
	mux.HandleFunc("GET /-/log-read", s.serveRead)
	mux.HandleFunc("GET /-/log-newest", s.serveNewest)
	mux.HandleFunc("POST /control", s.serveControl)
	mux.HandleFunc("POST /put", s.servePut)
	mux.HandleFunc("GET /calls", s.serveCalls)
	mux.HandleFunc("POST /copy", func(http.ResponseWriter, *http.Request) { s.Snapshot() })
	mux.HandleFunc("POST /return", func(http.ResponseWriter, *http.Request) { s.Restore() })
	return mux
}

// available counts a call and reports whether to serve it. If the store is down, it responds with
// status 503; if it is unresponsive, it blocks until the caller disconnects.
func (s *Store) available(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	if s.calls == nil {
		s.calls = make(map[string]int)
	}
	s.calls[r.URL.Path]++
	faults := s.faults
	s.setEraLocked(w)
	s.mu.Unlock()
	switch {
	case faults.Unresponsive:
		// net/http detects a disconnect only after the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return false
	case faults.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	return true
}

// setEraLocked sets the era header of a response.
func (s *Store) setEraLocked(w http.ResponseWriter) {
	w.Header().Set(headerStoreEra, strconv.FormatInt(s.eraLocked(), 10))
}

func (s *Store) serveCalls(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	calls := maps.Clone(s.calls)
	s.mu.Unlock()
	writeJSON(w, calls)
}

func (s *Store) serveControl(w http.ResponseWriter, r *http.Request) {
	var f StoreFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Put(r.FormValue("topic"), r.FormValue("key"), value)
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	if !s.available(w, r) {
		return
	}
	data, err := io.ReadAll(r.Body)
	records, ok := splitRecords(data)
	if err != nil || !ok {
		http.Error(w, "body must consist of keyed records", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.setEraLocked(w)
	t := s.topic(r.URL.Query().Get("topic"))
	if want := r.URL.Query().Get(paramExpectedEnd); want != "" && want != strconv.FormatInt(t.first+int64(len(t.records)), 10) {
		s.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	offset := int64(-1)
	for _, record := range records {
		next := s.appendLocked(r.URL.Query().Get("topic"), record)
		if offset < 0 {
			offset = next
		}
	}
	lose := s.faults.LoseResponses > 0
	if lose {
		s.faults.LoseResponses--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]int64{"offset": offset, "end": offset + int64(len(records))})
}

// splitRecords splits the body of an append and reports whether all of it is keyed records.
func splitRecords(data []byte) (records [][]byte, ok bool) {
	for len(data) > 0 {
		if len(data) < 5 {
			return nil, false
		}
		end := 4 + int(binary.BigEndian.Uint32(data))
		if end > len(data) || end < 5 || int(data[4]) > end-5 {
			return nil, false
		}
		records = append(records, data[4:end])
		data = data[end:]
	}
	return records, len(records) > 0
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	if !s.available(w, r) {
		return
	}
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	limit := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer limit.Stop()
	s.mu.Lock()
	hangs := s.hangs
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.hangs != hangs {
			s.mu.Unlock()
			<-r.Context().Done() // unresponsive since the read began
			return
		}
		t := s.topic(query.Get("topic"))
		page, gone := t.page(from)
		s.setEraLocked(w)
		changed := s.changed.Wait()
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(page) > pageHeaderBytes {
			_, _ = w.Write(page)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			_, _ = w.Write(page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// newestItem is one record of a newestPage.
type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

// newestPage is the response to a read of the newest records.
type newestPage struct {
	Items   []newestItem `json:"items"`
	HasMore bool         `json:"hasMore"`
	End     int64        `json:"end"`
}

// maxNewestItems bounds the records of one page. It is small so that tests read
// more than one page.
const maxNewestItems = 5

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	if !s.available(w, r) {
		return
	}
	after := r.URL.Query().Get("afterRev")
	s.mu.Lock()
	s.setEraLocked(w)
	t := s.topic(r.URL.Query().Get("topic"))
	out := newestPage{Items: []newestItem{}, End: t.first + int64(len(t.records))}
	for key, record := range t.newest {
		if key > after {
			out.Items = append(out.Items, newestItem{Key: key, Value: base64.StdEncoding.EncodeToString(record.value), Offset: record.offset})
		}
	}
	s.mu.Unlock()
	sort.Slice(out.Items, func(i, j int) bool { return out.Items[i].Key < out.Items[j].Key })
	if len(out.Items) > maxNewestItems {
		out.Items, out.HasMore = out.Items[:maxNewestItems], true
	}
	writeJSON(w, out)
}
