package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswerTime is how long the store takes for each answer.
const storeAnswerTime = 4 * time.Millisecond

// maxPageItems and maxPageBytes bound one page of a list.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// maxTransactionEntries bounds the conditions, writes and deletes of a transaction.
const maxTransactionEntries = 32

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in for the platform's key-value store. All its answers are linearizable.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	leases   map[uint64]*storeLease
	lastID   uint64
	changed  chan struct{}
	address  string
	// down is set while the store turns every call away with 503.
	down bool
}

func newStore(address string) (*store, error) {
	s := &store{revision: 1, items: map[string]storeItem{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{}), address: address}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.handleKey)
	mux.HandleFunc("GET "+wire.Range, s.handleRange)
	mux.HandleFunc("GET "+wire.Watch, s.handleWatch)
	mux.HandleFunc("POST "+wire.Transaction, s.handleTransaction)
	mux.HandleFunc("POST /kv-lease", s.handleGrant)
	mux.HandleFunc("POST /kv-keep/{id}", s.handleKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.handleLeaseEnd)
	delayed := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeAnswerTime)
		if s.isDown() {
			reply(w, http.StatusServiceUnavailable, map[string]any{})
			return
		}
		mux.ServeHTTP(w, r)
	})
	go func() { _ = http.Serve(listener, delayed) }()
	go s.expireLeases()
	return s, nil
}

func reply(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

func (s *store) expireLeases() {
	for range time.Tick(10 * time.Millisecond) {
		s.mu.Lock()
		for id, lease := range s.leases {
			if time.Now().After(lease.expires) {
				s.endLeaseLocked(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLeaseLocked(id uint64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.deleteLocked(key)
		}
	}
}

func (s *store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) deleteLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Deleted: true})
	s.notifyLocked()
}

func (s *store) writeLocked(key string, value []byte, lease, revision uint64) {
	item := storeItem{Key: key, Value: value, Revision: revision, Created: revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.history = append(s.history, item)
	s.notifyLocked()
}

// operatorWrite writes a key as the operator does.
func (s *store) operatorWrite(key string, body any) {
	value, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.writeLocked(key, value, 0, s.revision)
}

// has reports whether the key exists.
func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

// value returns the value of a key, or nil.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"atRev": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		storeItem
		AtRev uint64 `json:"atRev"`
	}{item, s.revision})
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page, size, more := []storeItem{}, 0, false
	for _, key := range keys {
		if len(page) == maxPageItems || size > maxPageBytes {
			more = true
			break
		}
		page = append(page, s.items[key])
		size += len(s.items[key].Value)
	}
	at := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": page, "hasMore": more, "atRev": at})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for ended := wait == 0; ; {
		s.mu.Lock()
		events, at, changed, down := s.eventsLocked(prefix, after), s.revision, s.changed, s.down
		s.mu.Unlock()
		if down {
			reply(w, http.StatusServiceUnavailable, map[string]any{})
			return
		}
		if len(events) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{"events": events, "atRev": at})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) eventsLocked(prefix string, after uint64) []storeItem {
	events := []storeItem{}
	from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	for _, item := range s.history[from:] {
		if strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events
}

type condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

type transactionBody struct {
	conditions []condition
	Writes     []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"writes"`
	Deletes []string `json:"deletes"`
}

func decodeTransaction(r *http.Request) (body transactionBody, err error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return body, err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return body, err
	}
	if raw, ok := fields[wire.Conditions]; ok {
		if err := json.Unmarshal(raw, &body.conditions); err != nil {
			return body, err
		}
	}
	return body, json.Unmarshal(data, &body)
}

func (s *store) handleTransaction(w http.ResponseWriter, r *http.Request) {
	body, err := decodeTransaction(r)
	if err != nil || len(body.conditions)+len(body.Writes)+len(body.Deletes) > maxTransactionEntries {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, current := false, []storeItem{}
	for _, condition := range body.conditions {
		item, ok := s.items[condition.Key]
		if ok {
			current = append(current, item)
		}
		failed = failed || item.Revision != condition.Revision
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, write := range body.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	if len(body.Writes) > 0 {
		s.revision++
	}
	at := s.revision
	for _, write := range body.Writes {
		s.writeLocked(write.Key, write.Value, write.Lease, at)
	}
	for _, key := range body.Deletes {
		s.deleteLocked(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) handleGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMillis int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	body.TTLMillis = max(body.TTLMillis, 1000)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl := time.Duration(body.TTLMillis) * time.Millisecond
	s.leases[s.lastID] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.lastID, "ttlMs": body.TTLMillis})
}

func (s *store) handleKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	if lease == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	lease.expires = time.Now().Add(lease.ttl)
	reply(w, http.StatusOK, map[string]any{})
}

func (s *store) handleLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.endLeaseLocked(id)
	reply(w, http.StatusOK, map[string]any{})
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// setDown starts or ends an outage of the store. Waiting watches are cut at its start, and leases expire meanwhile.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyLocked()
}
