package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Times of the store, as on the sheets of the small deployments.
const (
	answerTime      = 4 * time.Millisecond
	transactionTime = 8 * time.Millisecond
	maxRows         = 500
)

// row is a row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store.
type store struct {
	scene *scene
	begun time.Time

	mu      sync.Mutex
	version uint64
	rows    map[string]row
	changed chan struct{}
	// onWrite is called after a write under a condition was done and before it is
	// answered, with the name of the instance that made it.
	onWrite func(instance, table, key string)
}

func newStore(s *scene) *store {
	return &store{scene: s, begun: time.Now(), rows: map[string]row{}, changed: make(chan struct{})}
}

// serve serves the store for one instance and returns its address there.
func (s *store) serve(instance string) (string, error) {
	listener, err := s.scene.listen()
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", func(w http.ResponseWriter, r *http.Request) { s.transact(instance, w, r) })
	go func() { _ = http.Serve(listener, mux) }()
	return listener.Addr().String(), nil
}

// put writes a row as the operator or a worker does.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // the stand-ins write only what can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: encoded})
}

// remove removes a row as a worker does that has left.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Deleted: true})
}

// write stores a row at the current version. The caller holds the lock.
func (s *store) write(r row) {
	r.Ver = s.version
	s.rows[r.Table+"\x00"+r.Part+"\x00"+r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer is the body of the answers about rows.
type answer struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Ver     uint64 `json:"ver"`
	NowMs   int64  `json:"nowMs"`
}

// selected returns the rows for which include returns true, in the order of less. The
// caller holds the lock.
func (s *store) selected(include func(row) bool, less func(a, b row) bool) answer {
	found := answer{Rows: []row{}, Ver: s.version, NowMs: time.Since(s.begun).Milliseconds()}
	for _, r := range s.rows {
		if include(r) {
			found.Rows = append(found.Rows, r)
		}
	}
	sort.Slice(found.Rows, func(i, j int) bool { return less(found.Rows[i], found.Rows[j]) })
	return found
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	found := s.selected(func(r row) bool {
		return !r.Deleted && r.Table == query.Get("table") && r.Part == query.Get("part") && r.Key >= query.Get("from") && (query.Get("to") == "" || r.Key < query.Get("to"))
	}, func(a, b row) bool { return a.Key < b.Key })
	s.mu.Unlock()
	if len(found.Rows) > limit {
		found.Rows, found.HasMore = found.Rows[:limit], true
	}
	time.Sleep(answerTime)
	writeJSON(w, http.StatusOK, found)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("waitMs")) // 0 if it is missing
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		found := s.selected(func(r row) bool { return r.Table == query.Get("table") && r.Ver > after }, func(a, b row) bool { return a.Ver < b.Ver })
		changed := s.changed
		s.mu.Unlock()
		if len(found.Rows) > 0 || wait == 0 {
			time.Sleep(answerTime)
			writeJSON(w, http.StatusOK, found)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(instance string, w http.ResponseWriter, r *http.Request) {
	var change struct {
		Expected []row `json:"expected"`
		SetKeys  []row `json:"setKeys"`
		Remove   []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&change) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	conflicts := answer{Rows: []row{}, Ver: s.version, NowMs: time.Since(s.begun).Milliseconds()}
	holds := true
	for _, expected := range change.Expected {
		stored, exists := s.rows[expected.Table+"\x00"+expected.Part+"\x00"+expected.Key]
		if exists && !stored.Deleted {
			conflicts.Rows = append(conflicts.Rows, stored)
		} else {
			stored.Ver = 0
		}
		holds = holds && stored.Ver == expected.Ver
	}
	if !holds {
		s.mu.Unlock()
		time.Sleep(transactionTime)
		writeJSON(w, http.StatusPreconditionFailed, conflicts)
		return
	}
	s.version++
	for _, changed := range change.SetKeys {
		s.write(changed)
	}
	for _, removed := range change.Remove {
		removed.Deleted = true
		s.write(removed)
	}
	version, onWrite := s.version, s.onWrite
	s.mu.Unlock()
	for _, expected := range change.Expected {
		s.scene.note("store", "%s wrote %s/%s under a condition", instance, expected.Table, expected.Key)
		if onWrite != nil {
			onWrite(instance, expected.Table, expected.Key)
		}
	}
	time.Sleep(transactionTime)
	writeJSON(w, http.StatusOK, map[string]any{"ver": version, "nowMs": time.Since(s.begun).Milliseconds()})
}

// setOnWrite sets what is called after writes under a condition.
func (s *store) setOnWrite(call func(instance, table, key string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onWrite = call
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the instance may have ended
}
