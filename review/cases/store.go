package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the maximum number of records in a page of newest records.
const pageSize = 500

type storeRecord struct {
	key    string
	value  []byte
	offset int64
}

// topic is a keyed topic with one partition.
type topic struct {
	records []storeRecord
	newest  map[string]storeRecord
	changed chan struct{}
}

// A store is a stand-in for the platform's store with keyed topics.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

// topicLocked returns a topic and creates it if needed; the lock must be held.
func (s *store) topicLocked(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]storeRecord{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record; a nil value removes the key.
func (s *store) put(name, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(name, key, value)
}

func (s *store) putLocked(name, key string, value []byte) int64 {
	t := s.topicLocked(name)
	r := storeRecord{key: key, value: value, offset: int64(len(t.records))}
	t.records = append(t.records, r)
	if t.newest[key] = r; value == nil {
		delete(t.newest, key)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return r.offset
}

func (s *store) putJSON(name, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.put(name, key, data)
}

// ServeHTTP serves the calls log-newest, log-read and log-append.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/log-newest":
		s.serveNewest(w, r)
	case "/log-read":
		s.serveRead(w, r)
	case "/log-append":
		s.serveAppend(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	t := s.topicLocked(r.URL.Query().Get("topic"))
	items := []item{}
	for key, rec := range t.newest {
		if key > after {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(rec.value), rec.offset})
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageSize
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageSize)], "hasMore": more, "endOffset": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// An absent time to wait counts as 0.
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for waiting := waitMs > 0; ; {
		s.mu.Lock()
		t := s.topicLocked(query.Get("topic"))
		changed, end := t.changed, int64(len(t.records))
		found := slices.Clone(t.records[min(from, end):])
		s.mu.Unlock()
		if len(found) > 0 || !waiting {
			writeRecords(w, end, found)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, end int64, records []storeRecord) {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(append(out, r.key...), r.value...)
	}
	_, _ = w.Write(out)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.URL.Query().Get("topic")
	if name == operatorTopic || name == runnersTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first := int64(len(s.topicLocked(name).records))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(first, 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"endOffset": first})
		return
	}
	end := first
	for len(body) >= 5 {
		length := int(binary.BigEndian.Uint32(body))
		if length < 1 || 4+length > len(body) || 1+int(body[4]) > length {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		data := body[4 : 4+length]
		keyEnd := 1 + int(data[0])
		var value []byte
		if keyEnd < len(data) {
			value = slices.Clone(data[keyEnd:])
		}
		end = s.putLocked(name, string(data[1:keyEnd]), value) + 1
		body = body[4+length:]
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": first, "endOffset": end})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
