package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeDelay    = 4 * time.Millisecond // of each answer
	storeHistory  = 20 * time.Second
	storePage     = 500
	storeEvents   = 50
	sweepInterval = 20 * time.Millisecond
)

// storeItem is a key of the platform's store as it is sent to callers.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_revision"`
	Lease    uint64 `json:"lease"`
}

type storeEvent struct {
	storeItem
	deleted bool
	at      time.Time
}

// MarshalJSON sends a deletion as its key and revision.
func (e storeEvent) MarshalJSON() ([]byte, error) {
	if e.deleted {
		return json.Marshal(map[string]any{"key": e.Key, "revision": e.Revision, "compacted": true})
	}
	return json.Marshal(e.storeItem)
}

type storeLease struct {
	ttl    time.Duration
	expiry time.Time
}

// store is the platform's metadata store. All its answers are linearizable.
type store struct {
	mu       sync.Mutex
	items    map[string]storeItem
	events   []storeEvent
	dropped  uint64 // events up to this revision are gone
	revision uint64
	leases   map[uint64]*storeLease
	changed  chan struct{}
}

func newStore() *store {
	s := &store{items: map[string]storeItem{}, leases: map[uint64]*storeLease{}, revision: 1, changed: make(chan struct{})}
	go func() {
		for range time.Tick(sweepInterval) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiry) {
			s.endLease(id)
		}
	}
	for len(s.events) > 0 && now.Sub(s.events[0].at) > storeHistory {
		s.dropped = s.events[0].Revision
		s.events = s.events[1:]
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

// put and remove change a key; the caller holds mu.
func (s *store) put(key string, value []byte, lease uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := storeItem{key, value, s.revision, created, lease}
	s.items[key] = it
	s.publish(storeEvent{it, false, time.Now()})
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.publish(storeEvent{storeItem{Key: key, Revision: s.revision}, true, time.Now()})
}

func (s *store) publish(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes a key as the operator or a replica does and returns when the store
// accepted it.
func (s *store) write(key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, b, 0)
	return time.Now()
}

// erase removes a key as the operator or a replica does.
func (s *store) erase(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
	return time.Now()
}

// read returns the value of a key, nil if there is none.
func (s *store) read(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	status, body := s.answer(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) answer(r *http.Request) (int, any) {
	q := r.URL.Query()
	switch {
	case r.Method == "GET" && r.URL.Path == "/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		if it, ok := s.items[q.Get("key")]; ok {
			return 200, it
		}
		return 404, map[string]string{"error": "no such key"}
	case r.Method == "GET" && r.URL.Path == "/kv-range":
		return s.list(q.Get("prefix"), q.Get("after"))
	case r.Method == "GET" && r.URL.Path == "/kv-watch":
		return s.watch(r)
	case r.Method == "POST" && r.URL.Path == "/kv-txn":
		return s.transact(r)
	case r.Method == "POST" && r.URL.Path == "/kv-lease":
		var in struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil || in.TTL < 1000 || in.TTL > 600000 {
			return 400, map[string]string{"error": "ttl_ms"}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.revision++
		ttl := time.Duration(in.TTL) * time.Millisecond
		s.leases[s.revision] = &storeLease{ttl, time.Now().Add(ttl)}
		return 200, map[string]any{"lease": s.revision, "ttl_ms": in.TTL}
	case r.Method == "POST" && strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		if l == nil {
			return 404, map[string]string{"error": "no such lease"}
		}
		l.expiry = time.Now().Add(l.ttl)
		return 200, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()}
	case r.Method == "DELETE" && strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leases[id] == nil {
			return 404, map[string]string{"error": "no such lease"}
		}
		s.endLease(id)
		return 200, map[string]any{}
	}
	return 404, map[string]string{"error": "no such call"}
}

func (s *store) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []storeItem{}
	for _, key := range keys[:min(len(keys), storePage)] {
		items = append(items, s.items[key])
	}
	return 200, map[string]any{"items": items, "more_pages": len(keys) > storePage, "at_revision": s.revision}
}

func (s *store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || err2 != nil || wait < 0 || wait > 30000 {
		return 400, map[string]string{"error": "after or wait_ms"}
	}
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		dropped, at, changed := s.dropped, s.revision, s.changed
		events := []storeEvent{}
		for _, e := range s.events {
			if e.Revision <= after || !strings.HasPrefix(e.Key, q.Get("prefix")) {
				continue
			}
			if len(events) == storeEvents {
				at = events[len(events)-1].Revision
				break
			}
			events = append(events, e)
		}
		s.mu.Unlock()
		switch {
		case after < dropped:
			return 410, map[string]string{"error": "history is gone"}
		case len(events) > 0 || timedOut:
			return 200, map[string]any{"events": events, "at_revision": at}
		}
		select {
		case <-changed:
		case <-end.C:
			timedOut = true
		case <-r.Context().Done():
			return 503, nil
		}
	}
}

func (s *store) transact(r *http.Request) (int, any) {
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected_revision"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Expected)+len(in.Puts)+len(in.Remove) > 32 {
		return 400, map[string]string{"error": "body"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	current := []storeItem{}
	for _, e := range in.Expected {
		it, ok := s.items[e.Key]
		if ok {
			current = append(current, it)
		}
		failed = failed || it.Revision != e.Revision
	}
	if failed {
		return 412, map[string]any{"items": current}
	}
	forbidden := func(key string) bool {
		return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
	}
	for _, p := range in.Puts {
		if forbidden(p.Key) {
			return 403, map[string]string{"error": p.Key}
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 404, map[string]string{"error": "no such lease"}
		}
	}
	for _, key := range in.Remove {
		if forbidden(key) {
			return 403, map[string]string{"error": key}
		}
	}
	for _, p := range in.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Remove {
		s.remove(key)
	}
	return 200, map[string]any{"revision": s.revision}
}
