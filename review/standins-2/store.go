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

// storeItem is a key of the store on the wire.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// storeEvent is a change of a key: an item as it was written, or a deletion.
type storeEvent struct {
	storeItem
	Deleted bool `json:"deleted,omitempty"`
}

// txnBody is a transaction on the wire. The names of its fields are matched without regard to case.
type txnBody struct {
	ExpectedRev []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	}
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"writes"`
	Deletes []string `json:"deletes"`
}

// storeLease is a lease with the time at which it ends.
type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	record *record
	// lose decides about a transaction before it is made. If it returns a positive delay, the call gets no answer and
	// the transaction is carried out after the delay, if its conditions hold then.
	lose func(body *txnBody) time.Duration

	mu        sync.Mutex
	revision  uint64
	lastLease uint64
	items     map[string]storeItem
	history   []storeEvent
	leases    map[uint64]*storeLease
	changed   chan struct{}
}

func newStore(record *record) *store {
	s := &store{record: record, revision: 10, items: map[string]storeItem{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{})}
	go s.expireLeases()
	return s
}

// serve serves the store at the address.
func (s *store) serve(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, s) }()
	return nil
}

// expireLeases removes the keys of leases that have ended.
func (s *store) expireLeases() {
	for range time.Tick(10 * time.Millisecond) {
		s.mu.Lock()
		for id, lease := range s.leases {
			if time.Now().After(lease.ends) {
				s.endLeaseLocked(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLeaseLocked(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, item := range s.items {
		if item.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		sort.Strings(keys)
		s.applyLocked(&txnBody{Deletes: keys})
	}
}

// applyLocked makes the changes of a transaction under one new revision.
func (s *store) applyLocked(body *txnBody) {
	s.revision++
	for _, write := range body.Writes {
		item := storeItem{Key: write.Key, Value: write.Value, Revision: s.revision, Created: s.revision, Lease: write.Lease}
		if old, ok := s.items[write.Key]; ok {
			item.Created = old.Created
		}
		s.items[write.Key] = item
		s.history = append(s.history, storeEvent{storeItem: item})
	}
	for _, key := range body.Deletes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.history = append(s.history, storeEvent{storeItem: storeItem{Key: key, Revision: s.revision}, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator does.
func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body := &txnBody{}
	body.Writes = append(body.Writes, struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	}{Key: key, Value: []byte(value)})
	s.applyLocked(body)
}

func reply(w http.ResponseWriter, status int, body any) {
	encoded, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-key":
		s.mu.Lock()
		item, ok := s.items[query.Get("key")]
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		reply(w, http.StatusOK, item)
	case r.URL.Path == names.List:
		s.list(w, query.Get("prefix"), query.Get("after"))
	case r.URL.Path == names.Watch:
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.watch(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.URL.Path == names.Transaction:
		s.transact(w, r)
	default:
		s.serveLease(w, r)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	const pageItems = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "atRev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, event := range s.history {
			if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
				events = append(events, event)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || wait == 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "atRev": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			wait = 0
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body txnBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.lose != nil {
		if delay := s.lose(&body); delay > 0 {
			go func() {
				time.Sleep(delay)
				status, _ := s.commit(&body)
				s.record.add("store", "late transaction with %d writes carried out: status %d", len(body.Writes), status)
			}()
			// The connection returns nothing further.
			<-r.Context().Done()
			return
		}
	}
	status, result := s.commit(&body)
	reply(w, status, result)
}

// commit carries out a transaction and returns the status and the body of its response.
func (s *store) commit(body *txnBody) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, failed := []storeItem{}, false
	for _, condition := range body.ExpectedRev {
		item, ok := s.items[condition.Key]
		if ok {
			current = append(current, item)
		}
		failed = failed || item.Revision != condition.Revision
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, write := range body.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
	}
	s.applyLocked(body)
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == "/kv-lease" {
		var body struct {
			TTL int64 `json:"ttlMs"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.lastLease++
		ttl := time.Duration(max(body.TTL, 1000)) * time.Millisecond
		s.leases[s.lastLease] = &storeLease{ttl: ttl, ends: time.Now().Add(ttl)}
		reply(w, http.StatusOK, map[string]any{"lease": s.lastLease, "ttlMs": ttl.Milliseconds()})
		return
	}
	name := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	id, _ := strconv.ParseUint(name, 10, 64)
	lease := s.leases[id]
	if lease == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	if r.Method == http.MethodDelete {
		s.endLeaseLocked(id)
	} else {
		lease.ends = time.Now().Add(lease.ttl)
	}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": lease.ttl.Milliseconds()})
}
