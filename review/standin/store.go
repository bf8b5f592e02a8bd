//go:build review

package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's table store, without disturbances.
type store struct {
	address string
	started time.Time

	mutex   sync.Mutex
	version int64
	rows    map[string]row
	changed chan struct{}
}

// row is a row of a table as the store encodes it.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Version   int64  `json:"ver,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// rowsAnswer is the answer to a read.
type rowsAnswer struct {
	Rows      []row `json:"rows"`
	Truncated bool  `json:"truncated"`
	Version   int64 `json:"ver"`
	NowMillis int64 `json:"now_ms"`
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), started: time.Now(), rows: map[string]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.getRows)
	mux.HandleFunc("GET /-/rows-feed", s.getFeed)
	mux.HandleFunc("POST /-/rows-tx", s.postTransaction)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes a row; an empty value removes it.
func (s *store) put(table, key, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(table, "", key, value)
}

// write writes a row. The caller holds the lock.
func (s *store) write(table, part, key, value string) {
	s.version++
	s.rows[table+"\x00"+part+"\x00"+key] = row{
		Table: table, Part: part, Key: key, Value: base64.StdEncoding.EncodeToString([]byte(value)), Version: s.version, Tombstone: value == "",
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// selected returns the rows that keep accepts, by key. The caller holds the lock.
func (s *store) selected(keep func(row) bool) []row {
	list := []row{}
	for _, r := range s.rows {
		if keep(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	return list
}

func (s *store) answer(w http.ResponseWriter, rows []row, version int64) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(rowsAnswer{Rows: rows, Version: version, NowMillis: time.Since(s.started).Milliseconds()})
}

func (s *store) getRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mutex.Lock()
	rows := s.selected(func(x row) bool {
		return x.Table == q.Get("table") && x.Part == q.Get("part") && !x.Tombstone && x.Key >= q.Get("from")
	})
	version := s.version
	s.mutex.Unlock()
	s.answer(w, rows, version)
}

func (s *store) getFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after_rev"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	due := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		changed, version := s.changed, s.version
		rows := s.selected(func(x row) bool { return x.Table == q.Get("table") && x.Version > after })
		s.mutex.Unlock()
		if len(rows) > 0 {
			s.answer(w, rows, version)
			return
		}
		select {
		case <-changed:
		case <-due:
			s.answer(w, rows, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) postTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Writes []row `json:"writes"`
		Remove []row `json:"remove"`
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	for _, x := range t.Writes {
		value, _ := base64.StdEncoding.DecodeString(x.Value)
		s.write(x.Table, x.Part, x.Key, string(value))
	}
	for _, x := range t.Remove {
		s.write(x.Table, x.Part, x.Key, "")
	}
	version := s.version
	s.mutex.Unlock()
	s.answer(w, nil, version)
}
