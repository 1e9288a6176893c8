package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record.txt of a case: a line for each event, with the seconds since the
// start of the case.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// Add adds a line about what a part of the case did.
func (r *record) Add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %-10s %s\n", time.Since(r.start).Seconds(), who, fmt.Sprintf(format, args...))
}

// Say adds a line and prints it.
func (r *record) Say(format string, args ...any) {
	r.Add("case", format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// at returns a time as in the record.
func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }
