package main

import (
	"encoding/json"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one JSON line for each event.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f}, nil
}

// add writes an event with its time since the start, in milliseconds.
func (r *record) add(event string, fields map[string]any) {
	line := map[string]any{"event": event, "ms": time.Since(r.start).Milliseconds()}
	for k, v := range fields {
		line[k] = v
	}
	b, _ := json.Marshal(line) // strings, numbers and booleans can be encoded
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.Write(append(b, '\n'))
}
