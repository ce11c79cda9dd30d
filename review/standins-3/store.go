package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as it stands on the wire.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// change is an item that was written, or a deletion.
type change struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// pageItems is the number of items on one page of a list.
const pageItems = 500

// kvStore is a stand-in for the platform's metadata store, kept in memory.
type kvStore struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]*item
	leases  map[uint64]*lease
	history []change
	changed chan struct{}
	nextID  uint64
	// latency is the time for an answer.
	latency time.Duration
	// intercept may answer, delay or drop a call of a process in place of the store. It is nil without a disruption.
	intercept func(process string, w http.ResponseWriter, r *http.Request, serve func(http.ResponseWriter)) bool
}

func newStore() *kvStore {
	s := &kvStore{
		rev: 10, items: map[string]*item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), nextID: 70000,
		latency: 4 * time.Millisecond,
	}
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.mu.Lock()
			s.expireLocked(time.Now())
			s.mu.Unlock()
		}
	}()
	return s
}

// serve answers the calls of one process on a listener of its own.
func (s *kvStore) serve(process, address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		serve := func(w http.ResponseWriter) { s.handle(w, r) }
		s.mu.Lock()
		intercept := s.intercept
		s.mu.Unlock()
		if intercept != nil && intercept(process, w, r, serve) {
			return
		}
		serve(w)
	})}
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (s *kvStore) setIntercept(f func(string, http.ResponseWriter, *http.Request, func(http.ResponseWriter)) bool) {
	s.mu.Lock()
	s.intercept = f
	s.mu.Unlock()
}

func (s *kvStore) handle(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.latency)
	query := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-key":
		s.get(w, query.Get("key"))
	case r.URL.Path == "/"+names["list"]:
		s.list(w, query.Get("prefix"), query.Get("after"))
	case r.URL.Path == "/"+names["watch"]:
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.watch(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.URL.Path == "/"+names["transaction"]:
		s.transact(w, r)
	case r.URL.Path == "/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		s.keep(w, strings.TrimPrefix(r.URL.Path, "/kv-keep/"))
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		s.end(w, strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *kvStore) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(time.Now())
	found := s.items[key]
	if found == nil {
		writeJSON(w, http.StatusNotFound, map[string]any{"atRev": s.rev})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"key": found.Key, "value": found.Value, "revision": found.Revision, "created": found.Created, "lease": found.Lease, "atRev": s.rev,
	})
}

func (s *kvStore) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(time.Now())
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	keys = keys[:min(len(keys), pageItems)]
	items := make([]*item, 0, len(keys))
	for _, key := range keys {
		items = append(items, s.items[key])
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "atRev": s.rev})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		s.expireLocked(time.Now())
		var events []change
		for _, c := range s.history {
			if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
				events = append(events, c)
			}
		}
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "atRev": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": []change{}, "atRev": at})
			return
		}
	}
}

// transaction is the body of a transaction.
type transaction struct {
	ExpectedRev []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"$expected"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"writes"`
	Deletes []string `json:"deletes"`
}

func (s *kvStore) transact(w http.ResponseWriter, r *http.Request) {
	var body transaction
	if !decode(r.Body, &body) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(time.Now())
	var current []item
	failed := false
	for _, expected := range body.ExpectedRev {
		found := s.items[expected.Key]
		revision := uint64(0)
		if found != nil {
			revision = found.Revision
			current = append(current, *found)
		}
		failed = failed || revision != expected.Revision
	}
	if failed {
		if current == nil {
			current = []item{}
		}
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current, "atRev": s.rev})
		return
	}
	for _, write := range body.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			writeJSON(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.rev++
	for _, write := range body.Writes {
		s.putLocked(write.Key, write.Value, write.Lease)
	}
	for _, key := range body.Deletes {
		s.deleteLocked(key)
	}
	s.notifyLocked()
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.rev})
}

// putLocked writes a key at the present revision.
func (s *kvStore) putLocked(key string, value []byte, leaseID uint64) {
	created := s.rev
	if old := s.items[key]; old != nil {
		created = old.Created
	}
	s.items[key] = &item{Key: key, Value: value, Revision: s.rev, Created: created, Lease: leaseID}
	s.history = append(s.history, change{Key: key, Value: value, Revision: s.rev, Created: created, Lease: leaseID})
}

// deleteLocked deletes a key at the present revision.
func (s *kvStore) deleteLocked(key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, change{Key: key, Revision: s.rev, Deleted: true})
}

func (s *kvStore) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key of the operator's.
func (s *kvStore) put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.putLocked(key, value, 0)
	s.notifyLocked()
	return s.rev
}

// size returns the number of items under a prefix and the length of their list on the wire.
func (s *kvStore) size(prefix string) (items, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, found := range s.items {
		if strings.HasPrefix(key, prefix) {
			encoded, _ := json.Marshal(found)
			items, bytes = items+1, bytes+len(encoded)+1
		}
	}
	return items, bytes
}

// expireLocked ends the leases that have run out, and removes their keys.
func (s *kvStore) expireLocked(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLeaseLocked(id)
		}
	}
}

func (s *kvStore) endLeaseLocked(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, found := range s.items {
		if found.Lease == id {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.rev++
		s.deleteLocked(key)
	}
	if len(keys) > 0 {
		s.notifyLocked()
	}
}

func (s *kvStore) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(time.Second, time.Duration(body.TTL)*time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttlMs": ttl.Milliseconds()})
}

func (s *kvStore) keep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(time.Now())
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *kvStore) end(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLeaseLocked(id)
	writeJSON(w, http.StatusOK, map[string]any{})
}
