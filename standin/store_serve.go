package standin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"time"
)

// storeEra is the header that numbers the times between two returns of the store.
const storeEra = "Store-Era"

// Handler serves the store's protocol, its faults at POST /control, and its return to an older
// copy at POST /copy and POST /return.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.serveAppend)
	mux.HandleFunc("GET /-/log-read", s.serveRead)
	mux.HandleFunc("GET /-/log-newest", s.serveNewest)
	mux.HandleFunc("POST /control", s.serveControl)
	mux.HandleFunc("POST /put", s.servePut)
	mux.HandleFunc("POST /copy", func(http.ResponseWriter, *http.Request) { s.Snapshot() })
	mux.HandleFunc("POST /return", func(http.ResponseWriter, *http.Request) { s.Restore() })
	return mux
}

// up counts a call and says whether to serve it: not while the store is down, which
// refuses it, or silent, which answers nothing until its caller leaves.
func (s *Store) up(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	if s.calls == nil {
		s.calls = make(map[string]int)
	}
	s.calls[r.URL.Path]++
	faults := s.faults
	s.stampLocked(w)
	s.mu.Unlock()
	switch {
	case faults.Unresponsive:
		// A caller's leaving is noticed only once its body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return false
	case faults.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	return true
}

// stampLocked names the era that an answer is of.
func (s *Store) stampLocked(w http.ResponseWriter) {
	w.Header().Set(storeEra, strconv.FormatInt(s.eraLocked(), 10))
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
	if !s.up(w, r) {
		return
	}
	data, err := io.ReadAll(r.Body)
	records, whole := splitRecords(data)
	if err != nil || !whole {
		http.Error(w, "keyed records are expected", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.stampLocked(w)
	offset := int64(-1)
	for _, one := range records {
		next := s.appendLocked(r.URL.Query().Get("topic"), one)
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

// splitRecords takes the body of an append apart; it says whether all of it is keyed records.
func splitRecords(data []byte) (records [][]byte, whole bool) {
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
	if !s.up(w, r) {
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
	silences := s.silences
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.silences != silences {
			s.mu.Unlock()
			<-r.Context().Done() // it fell silent meanwhile
			return
		}
		t := s.topic(query.Get("topic"))
		page, gone := t.page(from)
		s.stampLocked(w)
		changed := s.changed.Wait()
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(page) > pageHeadBytes {
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

// newestItem is one record in the answer to a look at the newest.
type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

// newestPage is the answer to a look at the newest records.
type newestPage struct {
	Items   []newestItem `json:"items"`
	HasMore bool         `json:"hasMore"`
	End     int64        `json:"end"`
}

// newestItems bounds the records of one page; it is small, so that tests meet
// more than one.
const newestItems = 5

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	if !s.up(w, r) {
		return
	}
	after := r.URL.Query().Get("afterRev")
	s.mu.Lock()
	s.stampLocked(w)
	t := s.topic(r.URL.Query().Get("topic"))
	out := newestPage{Items: []newestItem{}, End: t.first + int64(len(t.records))}
	for key, one := range t.newest {
		if key > after {
			out.Items = append(out.Items, newestItem{Key: key, Value: base64.StdEncoding.EncodeToString(one.value), Offset: one.offset})
		}
	}
	s.mu.Unlock()
	sort.Slice(out.Items, func(i, j int) bool { return out.Items[i].Key < out.Items[j].Key })
	if len(out.Items) > newestItems {
		out.Items, out.HasMore = out.Items[:newestItems], true
	}
	writeJSON(w, out)
}
