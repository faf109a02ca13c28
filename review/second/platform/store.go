package main

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

// maxWait is the longest wait for changes that the store grants.
const maxWait = 30 * time.Second

// storeRow is a row of the store.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r storeRow) name() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store stands in for the platform's store. It keeps the whole history.
type store struct {
	address   string
	startedAt time.Time
	listener  net.Listener

	mu      sync.Mutex
	version uint64
	rows    map[string]storeRow
	changed chan struct{}
}

func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: address, startedAt: time.Now(), listener: listener, rows: map[string]storeRow{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.transact)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: maxWait}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

// put writes a row as the operator or a worker does. The time at which it returns is that
// of the confirmation.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]storeRow{{Table: table, Key: key, Value: encoded}})
}

// apply writes rows in one transaction. The caller holds the lock.
func (s *store) apply(rows []storeRow) {
	s.version++
	for _, r := range rows {
		r.Ver = s.version
		s.rows[r.name()] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer is the answer to a call about rows.
type storeAnswer struct {
	Rows    []storeRow `json:"rows"`
	HasMore bool       `json:"hasMore"`
	Ver     uint64     `json:"ver"`
	NowMs   int64      `json:"nowMs"`
}

// selected returns the rows that keep accepts, in the order of their keys. The caller holds
// the lock.
func (s *store) selected(keep func(storeRow) bool) storeAnswer {
	answer := storeAnswer{Rows: []storeRow{}, Ver: s.version, NowMs: time.Since(s.startedAt).Milliseconds()}
	for _, r := range s.rows {
		if keep(r) {
			answer.Rows = append(answer.Rows, r)
		}
	}
	slices.SortFunc(answer.Rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	return answer
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, to := query.Get("from"), query.Get("to")
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	answer := s.selected(func(r storeRow) bool {
		return r.Table == query.Get("table") && r.Part == query.Get("part") && !r.Deleted && r.Key >= from && (to == "" || r.Key < to)
	})
	s.mu.Unlock()
	answer.HasMore = len(answer.Rows) > limit
	answer.Rows = answer.Rows[:min(limit, len(answer.Rows))]
	reply(w, http.StatusOK, answer)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMillis, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(min(time.Duration(waitMillis)*time.Millisecond, maxWait))
	for {
		s.mu.Lock()
		changed := s.changed
		answer := s.selected(func(r storeRow) bool { return r.Table == query.Get("table") && r.Ver > after })
		s.mu.Unlock()
		slices.SortStableFunc(answer.Rows, func(a, b storeRow) int { return int(a.Ver) - int(b.Ver) })
		ended := len(answer.Rows) > 0
		if !ended {
			select {
			case <-changed:
			case <-timeout:
				ended = true
			case <-r.Context().Done():
				return
			}
		}
		if ended {
			reply(w, http.StatusOK, answer)
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var change struct {
		Expected []storeRow `json:"expected"`
		SetKeys  []storeRow `json:"setKeys"`
		Remove   []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, item := range append(slices.Clone(change.SetKeys), change.Remove...) {
		if item.Table == "op" || item.Table == "servers" {
			http.Error(w, "not the system's table", http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []storeRow{}
	holds := true
	for _, expected := range change.Expected {
		row := s.rows[expected.name()]
		if row.Deleted {
			row.Ver = 0
		}
		holds = holds && row.Ver == expected.Ver
		if row.Ver > 0 {
			current = append(current, row)
		}
	}
	nowMillis := time.Since(s.startedAt).Milliseconds()
	if !holds {
		reply(w, http.StatusPreconditionFailed, storeAnswer{Rows: current, Ver: s.version, NowMs: nowMillis})
		return
	}
	rows := change.SetKeys
	for _, removed := range change.Remove {
		removed.Deleted = true
		rows = append(rows, removed)
	}
	s.apply(rows)
	reply(w, http.StatusOK, storeAnswer{Rows: []storeRow{}, Ver: s.version, NowMs: nowMillis})
}

// reply writes an answer in JSON.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller has left if it fails
}
