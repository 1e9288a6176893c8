package toucanbalancer

import (
	"time"

	"toucanstair.example/core/toucanreplica"
)

const (
	// departureTTL is how long a departure is remembered. A process ends seconds after
	// it announced its departure.
	departureTTL = 10 * time.Minute
	// maxDepartures bounds the remembered departures, of which the oldest are forgotten.
	maxDepartures = 8192
)

// Departure is a process of a target that has announced that it leaves.
type Departure struct {
	Target      toucanreplica.ID
	StartMillis int64 // start of the process, Unix milliseconds
}

// departureLog holds departures in the order in which they were recorded. The zero
// value is empty.
type departureLog struct {
	entries []departureEntry
	first   uint64 // number of entries[0], less 1
	known   map[Departure]bool
}

type departureEntry struct {
	Departure
	at time.Time
}

func (l *departureLog) contains(d Departure) bool { return l.known[d] }

// add records a departure and reports whether it is new.
func (l *departureLog) add(d Departure, now time.Time) bool {
	if l.known[d] {
		return false
	}
	if len(l.entries) >= maxDepartures {
		l.dropFirst()
	}
	if l.known == nil {
		l.known = make(map[Departure]bool)
	}
	l.known[d] = true
	l.entries = append(l.entries, departureEntry{d, now})
	return true
}

// since returns the departures after the one with a number, and the last number.
func (l *departureLog) since(number uint64) ([]Departure, uint64) {
	last := l.first + uint64(len(l.entries))
	if number >= last {
		return nil, last
	}
	skip := max(number, l.first) - l.first
	out := make([]Departure, 0, len(l.entries)-int(skip))
	for _, e := range l.entries[skip:] {
		out = append(out, e.Departure)
	}
	return out, last
}

// forget removes the departures that are older than departureTTL.
func (l *departureLog) forget(now time.Time) {
	for len(l.entries) > 0 && now.Sub(l.entries[0].at) > departureTTL {
		l.dropFirst()
	}
}

func (l *departureLog) dropFirst() {
	delete(l.known, l.entries[0].Departure)
	l.entries = l.entries[1:]
	l.first++
}
