// Package platform holds stand-ins of the users' platform, its workers and its clients for the
// cases of the third review.
package platform

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxWatch bounds how long a call for changes is kept waiting.
const maxWatch = 30 * time.Second

// Row is a row of the store.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Store is a sound store in memory that keeps its whole history.
type Store struct {
	Address   string
	startedAt time.Time
	mu        sync.Mutex
	ver       uint64
	rows      map[string]Row
	changed   chan struct{}
}

// NewStore starts a store on a loopback address.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: listener.Addr().String(), startedAt: time.Now(), rows: map[string]Row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.commit)
	go func() { _ = http.Serve(listener, mux) }() //nolint:gosec // a stand-in on a loopback address
	return s, nil
}

// Put writes a row with a JSON value.
func (s *Store) Put(table, key string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(Row{Table: table, Key: key, Value: encoded})
	return nil
}

// Remove removes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row, ok := s.rows[table+"\x00"+key]; ok && !row.Deleted {
		s.write(Row{Table: table, Key: key, Deleted: true})
	}
}

// Count returns the number of rows of a table whose keys begin with a prefix.
func (s *Store) Count(table, prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, row := range s.rows {
		if row.Table == table && !row.Deleted && strings.HasPrefix(row.Key, prefix) {
			count++
		}
	}
	return count
}

// write applies a change. The caller holds the lock.
func (s *Store) write(row Row) {
	s.ver++
	row.Ver = s.ver
	s.rows[row.Table+"\x00"+row.Key] = row
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) answer(w http.ResponseWriter, rows []Row, hasMore bool) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": hasMore, "ver": s.ver, "nowMs": time.Since(s.startedAt).Milliseconds()})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	table, part, from, to := query.Get("table"), query.Get("part"), query.Get("from"), query.Get("to")
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []Row{}
	for _, row := range s.rows {
		if row.Table == table && row.Part == part && !row.Deleted && row.Key >= from && (to == "" || row.Key < to) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, rows[:min(limit, len(rows))], len(rows) > limit)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	waitMillis, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(min(time.Duration(waitMillis)*time.Millisecond, maxWatch))
	for {
		s.mu.Lock()
		changed := s.changed
		rows := []Row{}
		for _, row := range s.rows {
			if row.Table == query.Get("table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 || waitMillis == 0 {
			slices.SortFunc(rows, func(a, b Row) int { return int(a.Ver) - int(b.Ver) })
			s.answer(w, rows, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			waitMillis = 0
		}
	}
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var change struct {
		Expected []Row `json:"expected"`
		SetKeys  []Row `json:"setKeys"`
		Remove   []Row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []Row{}
	for _, expected := range change.Expected {
		row := s.rows[expected.Table+"\x00"+expected.Key]
		if row.Deleted {
			row = Row{Table: expected.Table, Key: expected.Key}
		}
		holds = holds && row.Ver == expected.Ver
		if row.Ver > 0 {
			current = append(current, row)
		}
	}
	if !holds {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"rows": current, "ver": s.ver})
		return
	}
	for _, row := range change.SetKeys {
		s.write(Row{Table: row.Table, Key: row.Key, Value: row.Value})
	}
	for _, row := range change.Remove {
		s.write(Row{Table: row.Table, Key: row.Key, Deleted: true})
	}
	s.answer(w, []Row{}, false)
}
