package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or the removal of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_revision,omitempty"`
	Lease    uint64 `json:"lease"`
	Gone     bool   `json:"compacted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's metadata store. It answers as the pages say,
// each call after storeDelay.
type store struct {
	Address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]lease
	changed  chan struct{}
	log      *record
}

const (
	storeDelay = 4 * time.Millisecond
	pageItems  = 500
	storeEra   = "1"
)

func newStore(log *record) (*store, error) {
	s := &store{revision: 10, items: map[string]item{}, leases: map[uint64]lease{}, changed: make(chan struct{}), log: log}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.Address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s, nil
}

// Put writes a key as the operator or a server does, and returns when the store has
// accepted it.
func (s *store) Put(key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(item{Key: key, Value: b})
	return time.Now()
}

// Remove deletes a key as the operator or a server does.
func (s *store) Remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.apply(item{Key: key, Gone: true})
	}
	return time.Now()
}

// Value returns the value of a key, nil if there is none.
func (s *store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// apply makes a change; the caller holds mu.
func (s *store) apply(it item) {
	s.revision++
	it.Revision = s.revision
	if it.Gone {
		delete(s.items, it.Key)
	} else {
		it.Created = it.Revision
		if old, ok := s.items[it.Key]; ok {
			it.Created = old.Created
		}
		s.items[it.Key] = it
		if strings.HasPrefix(it.Key, "status/") {
			s.log.Add("store", "%s = %s", it.Key, it.Value)
		}
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.apply(item{Key: key, Gone: true})
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	status, body := s.handle(r)
	var b bytes.Buffer
	if body != nil {
		_ = json.NewEncoder(&b).Encode(body)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", storeEra)
	w.Header().Set("Content-Length", strconv.Itoa(b.Len()))
	w.WriteHeader(status)
	_, _ = w.Write(b.Bytes())
}

func (s *store) handle(r *http.Request) (int, any) {
	q := r.URL.Query()
	path, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	number, _ := strconv.ParseUint(id, 10, 64)
	if r.Method+" "+path == "GET kv-watch" {
		return s.watch(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.Method + " " + path {
	case "GET kv-key":
		if it, ok := s.items[q.Get("key")]; ok {
			return http.StatusOK, it
		}
		return http.StatusNotFound, map[string]string{"error": "no such key"}
	case "GET kv-range":
		var keys []string
		for key := range s.items {
			if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
				keys = append(keys, key)
			}
		}
		sort.Strings(keys)
		items := []item{}
		for _, key := range keys[:min(len(keys), pageItems)] {
			items = append(items, s.items[key])
		}
		return http.StatusOK, map[string]any{"items": items, "more_pages": len(keys) > pageItems, "at_revision": s.revision}
	case "POST kv-txn":
		return s.transact(r)
	case "POST kv-lease":
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < 1000 {
			return http.StatusBadRequest, map[string]string{"error": "ttl_ms"}
		}
		s.revision++
		ttl := time.Duration(body.TTL) * time.Millisecond
		s.leases[s.revision] = lease{ttl, time.Now().Add(ttl)}
		return http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": body.TTL}
	case "POST kv-keep":
		l, ok := s.leases[number]
		if !ok {
			return http.StatusNotFound, map[string]string{"error": "no such lease"}
		}
		s.leases[number] = lease{l.ttl, time.Now().Add(l.ttl)}
		return http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()}
	case "DELETE kv-lease-end":
		s.endLease(number)
		return http.StatusOK, map[string]any{}
	}
	return http.StatusNotFound, map[string]string{"error": "no such call"}
}

func (s *store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || err2 != nil || wait > 30000 {
		return http.StatusBadRequest, map[string]string{"error": "after or wait_ms"}
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		events, at, changed := []item{}, s.revision, s.changed
		for n := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after }); n < len(s.history); n++ {
			if strings.HasPrefix(s.history[n].Key, q.Get("prefix")) {
				events = append(events, s.history[n])
			}
		}
		s.mu.Unlock()
		if after > at {
			return http.StatusGone, map[string]string{"error": "no such revision"}
		}
		done := len(events) > 0
		if !done {
			select {
			case <-changed:
			case <-timeout.C:
				done = true
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
		if done {
			return http.StatusOK, map[string]any{"events": events, "at_revision": at}
		}
	}
}

// transact handles a transaction; the caller holds mu.
func (s *store) transact(r *http.Request) (int, any) {
	var body struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected_revision"`
		Puts   []item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, map[string]string{"error": err.Error()}
	}
	failed, now := false, []item{}
	for _, e := range body.Expected {
		it, ok := s.items[e.Key]
		if ok {
			now = append(now, it)
		}
		failed = failed || it.Revision != e.Revision
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"items": now}
	}
	keys := append([]string{}, body.Remove...)
	for _, p := range body.Puts {
		keys = append(keys, p.Key)
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, map[string]string{"error": "no such lease"}
		}
	}
	for _, key := range keys {
		if strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") {
			return http.StatusForbidden, map[string]string{"error": fmt.Sprintf("key %s", key)}
		}
	}
	for _, p := range body.Puts {
		s.apply(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range body.Remove {
		if _, ok := s.items[key]; ok {
			s.apply(item{Key: key, Gone: true})
		}
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}
