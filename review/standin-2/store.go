package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pageItems      = 500
	historyTime    = 20 * time.Second
	maxWatchMillis = 30000
	// Calls of all hosts together in a second, as in their settings; more get 429.
	readsPerSecond, writesPerSecond = 2000, 400
)

// item is a key of the store, or an event; Compacted marks the event of a removed key.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created_revision"`
	Lease     uint64 `json:"lease"`
	Compacted bool   `json:"compacted,omitempty"`
}

// change is an event with its time.
type change struct {
	item item
	at   time.Time
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// copyOfStore is the state of the store at one time.
type copyOfStore struct {
	at       time.Time
	items    map[string]item
	leases   map[uint64]lease
	revision uint64
}

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	leases   map[uint64]lease
	changes  []change
	dropped  uint64 // changes up to this revision are not kept
	revision uint64
	era      int
	away     bool
	changed  chan struct{} // closed at each change
	copies   []copyOfStore // taken each copyInterval
	calls    map[string]int

	second        int64 // in which reads and writes are counted
	reads, writes int
}

const copyInterval = 250 * time.Millisecond

func newStore() *store {
	s := &store{items: map[string]item{}, leases: map[uint64]lease{}, revision: 1, era: 1, changed: make(chan struct{}), calls: map[string]int{}}
	go func() {
		for {
			time.Sleep(copyInterval)
			s.mu.Lock()
			s.copies = append(s.copies, copyOfStore{time.Now(), maps.Clone(s.items), maps.Clone(s.leases), s.revision})
			s.mu.Unlock()
		}
	}()
	return s
}

// put writes a key as the operator or a replica does. It returns false while the store is away.
func (s *store) put(key string, value any) bool {
	b, _ := json.Marshal(value) // maps of strings and numbers can be encoded
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.apply(item{Key: key, Value: b})
	return true
}

// remove removes a key as the operator or a replica does. It returns false while the store is away.
func (s *store) remove(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.apply(item{Key: key, Compacted: true})
	return true
}

// value returns the value of a key, nil if there is none.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// apply applies a change; the caller holds mu.
func (s *store) apply(it item) {
	s.revision++
	it.Revision, it.Created = s.revision, s.revision
	if old, ok := s.items[it.Key]; ok {
		it.Created = old.Created
	}
	if it.Compacted {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	now := time.Now()
	s.changes = append(s.changes, change{it, now})
	for now.Sub(s.changes[0].at) > historyTime {
		s.dropped = s.changes[0].item.Revision
		s.changes = s.changes[1:]
	}
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) revisionNow() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// setAway makes the store unreachable: waiting calls and new ones get no response.
func (s *store) setAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// restore brings the store back from a copy that is at least so old. What the operator and
// the replicas have written since is written again, in the order of the keys' last writes;
// other keys and leases written since are gone. It returns the age of the copy and the
// revisions before and after.
func (s *store) restore(age time.Duration) (time.Duration, uint64, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, before := time.Now(), s.revision
	var from copyOfStore
	for _, c := range s.copies {
		if now.Sub(c.at) >= age {
			from = c
		}
	}
	last := map[string]item{}
	for _, c := range s.changes {
		if c.item.Revision > from.revision && (strings.HasPrefix(c.item.Key, "op/") || strings.HasPrefix(c.item.Key, "servers/")) {
			last[c.item.Key] = c.item
		}
	}
	again := slices.SortedFunc(maps.Values(last), func(a, b item) int { return int(a.Revision) - int(b.Revision) })
	s.items, s.leases, s.revision = maps.Clone(from.items), maps.Clone(from.leases), from.revision
	s.changes = slices.DeleteFunc(s.changes, func(c change) bool { return c.item.Revision > from.revision })
	s.copies, s.away = nil, false
	s.era++
	for _, it := range again {
		s.apply(item{Key: it.Key, Value: it.Value, Compacted: it.Compacted})
	}
	s.wake()
	return now.Sub(from.at), before, s.revision
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.apply(item{Key: key, Compacted: true})
		}
	}
}

// ServeHTTP handles one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if s.away {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	for id, l := range s.leases {
		if time.Now().After(l.expiry) {
			s.endLease(id)
		}
	}
	allowed, era := s.count(r), s.era
	s.mu.Unlock()
	status, body := http.StatusTooManyRequests, any(nil)
	if allowed {
		status, body, era = s.handle(r)
	}
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	s.calls[strings.SplitN(r.URL.Path, "/", 3)[1]+" "+strconv.Itoa(status)]++
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body) // fails only if the caller has disconnected
	}
}

// count counts a call and reports whether it is within the limits; the caller holds mu. A
// renewal of a lease counts as a read.
func (s *store) count(r *http.Request) bool {
	if now := time.Now().Unix(); now != s.second {
		s.second, s.reads, s.writes = now, 0, 0
	}
	if r.Method == http.MethodGet || strings.HasPrefix(r.URL.Path, "/kv-keep") {
		s.reads++
		return s.reads <= readsPerSecond
	}
	s.writes++
	return s.writes <= writesPerSecond
}

// callCounts returns the number of calls by kind and status.
func (s *store) callCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// handle returns the status, the body and the era of a response; status 0 means no response.
func (s *store) handle(r *http.Request) (int, any, int) {
	q := r.URL.Query()
	path, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if r.Method+" "+path == "GET kv-watch" {
		return s.watch(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	number, _ := strconv.ParseUint(id, 10, 64) // 0 is no lease
	switch r.Method + " " + path {
	case "GET kv-key":
		if it, ok := s.items[q.Get("key")]; ok {
			return http.StatusOK, it, s.era
		}
		return http.StatusNotFound, nil, s.era
	case "GET kv-range":
		return http.StatusOK, s.page(q.Get("prefix"), q.Get("after")), s.era
	case "POST kv-txn":
		status, body := s.transact(r)
		return status, body, s.era
	case "POST kv-lease":
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < 1000 {
			return http.StatusBadRequest, nil, s.era
		}
		s.revision++
		ttl := time.Duration(body.TTL) * time.Millisecond
		s.leases[s.revision] = lease{ttl, time.Now().Add(ttl)}
		return http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": body.TTL}, s.era
	case "POST kv-keep":
		l, ok := s.leases[number]
		if !ok {
			return http.StatusNotFound, nil, s.era
		}
		s.leases[number] = lease{l.ttl, time.Now().Add(l.ttl)}
		return http.StatusOK, map[string]any{"lease": number, "ttl_ms": l.ttl.Milliseconds()}, s.era
	case "DELETE kv-lease-end":
		s.endLease(number)
		return http.StatusOK, map[string]any{}, s.era
	}
	return http.StatusNotFound, nil, s.era
}

// page returns the first items with the prefix and a key greater than after.
func (s *store) page(prefix, after string) any {
	found := []item{}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, s.items[key])
		}
	}
	more := len(found) > pageItems
	return map[string]any{"items": found[:min(len(found), pageItems)], "more_pages": more, "at_revision": s.revision}
}

// watch responds once there are changes after a revision, or after the wait time. From a
// revision that the store does not have it responds with 410.
func (s *store) watch(r *http.Request) (int, any, int) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || err2 != nil || wait > maxWatchMillis {
		return http.StatusBadRequest, nil, 1
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	s.mu.Lock()
	began := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		away, era, revision, changed := s.away, s.era, s.revision, s.changed
		missing := after < s.dropped || after > s.revision
		events := []item{}
		for _, c := range s.changes {
			if c.item.Revision > after && strings.HasPrefix(c.item.Key, q.Get("prefix")) {
				events = append(events, c.item)
			}
		}
		s.mu.Unlock()
		switch {
		case away || era != began:
			return 0, nil, era
		case missing:
			return http.StatusGone, nil, era
		case len(events) > 0:
			return http.StatusOK, map[string]any{"events": events, "at_revision": revision}, era
		}
		select {
		case <-changed:
		case <-timeout.C:
			return http.StatusOK, map[string]any{"events": events, "at_revision": revision}, era
		case <-r.Context().Done():
			return 0, nil, era
		}
	}
}

// transact applies a transaction if its conditions hold; the caller holds mu.
func (s *store) transact(r *http.Request) (int, any) {
	var body struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected_revision"`
		Puts   []item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		return http.StatusBadRequest, nil
	}
	current := []item{}
	failed := false
	for _, e := range body.Expected {
		failed = failed || s.items[e.Key].Revision != e.Revision
		if it, ok := s.items[e.Key]; ok {
			current = append(current, it)
		}
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	for _, p := range body.Puts {
		s.apply(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range body.Remove {
		s.apply(item{Key: key, Compacted: true})
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}
