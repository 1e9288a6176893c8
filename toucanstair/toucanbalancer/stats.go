package toucanbalancer

import (
	"math"
	"sync"
	"time"
)

const (
	// weight of a new sample in the averages of latency and failures.
	weight = 0.2
	// fade is the half-life of what was observed, so that a target that was slow
	// or failed is tried again.
	fade = 2 * time.Second
	// banFirst and banMost bound the pause after a connection failed.
	banFirst = 300 * time.Millisecond
	banMost  = 2 * time.Second
	// staleLoad is the age at which a reported load no longer counts.
	staleLoad = 300 * time.Millisecond
)

// Stats is what this host observed of one target. The zero value has observed
// nothing.
type Stats struct {
	mu       sync.Mutex
	latency  time.Duration // average of complete responses; 0: none yet
	spread   time.Duration // average deviation
	failures float64       // share of failed exchanges, 0 to 1
	refusals float64       // share of refused exchanges, 0 to 1
	seen     time.Time
	running  map[uint64]time.Time
	serial   uint64
	waiting  int // reported by the target
	told     time.Time
	banned   time.Time
	bans     int
}

// StatsSnapshot is a copy of a load at one moment.
type StatsSnapshot struct {
	Latency     time.Duration // 0: nothing observed
	Deviation   time.Duration
	Failures    float64
	Refusals    float64
	InFlight    int           // exchanges of this host in flight
	OldestAge   time.Duration // age of the oldest of them
	QueueLength int           // requests that the target said were waiting
	Paused      bool
}

// Begin notes an exchange and returns its number.
func (l *Stats) Begin(now time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running == nil {
		l.running = make(map[uint64]time.Time)
	}
	l.serial++
	l.running[l.serial] = now
	return l.serial
}

// End notes the end of an exchange without saying how it ended.
func (l *Stats) End(n uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, n)
}

// RecordSuccess notes a complete response.
func (l *Stats) RecordSuccess(now time.Time, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.age(now)
	if l.latency == 0 {
		l.latency, l.spread = took, took/2
	} else {
		d := max(took-l.latency, l.latency-took)
		l.latency += time.Duration(weight * float64(took-l.latency))
		l.spread += time.Duration(weight * float64(d-l.spread))
	}
	l.failures *= 1 - weight
	l.refusals *= 1 - weight
	l.bans, l.banned = 0, time.Time{}
}

// RecordTimeout notes that an exchange was given up after a time without a response.
func (l *Stats) RecordTimeout(now time.Time, after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.age(now)
	if after > l.latency {
		l.latency += time.Duration(weight * float64(after-l.latency))
	}
}

// RecordFailure notes an exchange that failed at the target.
func (l *Stats) RecordFailure(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.age(now)
	l.failures += weight * (1 - l.failures)
}

// RecordRefusal notes that the target did not run a request.
func (l *Stats) RecordRefusal(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.age(now)
	l.refusals += weight * (1 - l.refusals)
}

// RecordConnectFailure notes that no connection could be made; the pause doubles each
// time.
func (l *Stats) RecordConnectFailure(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.age(now)
	l.failures += weight * (1 - l.failures)
	if now.Before(l.banned) {
		return
	}
	l.banned = now.Add(min(banMost, banFirst<<min(l.bans, 4)))
	l.bans++
}

// RecordQueueLength notes the queue that the target reported.
func (l *Stats) RecordQueueLength(now time.Time, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting, l.told = waiting, now
}

// Snapshot returns the load as it is now.
func (l *Stats) Snapshot(now time.Time) StatsSnapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.age(now)
	v := StatsSnapshot{
		Latency: l.latency, Deviation: l.spread, Failures: l.failures, Refusals: l.refusals,
		InFlight: len(l.running), Paused: now.Before(l.banned),
	}
	for _, at := range l.running {
		v.OldestAge = max(v.OldestAge, now.Sub(at))
	}
	if now.Sub(l.told) < staleLoad {
		v.QueueLength = l.waiting
	}
	return v
}

// age lets what was observed fade with the time since the last sample.
func (l *Stats) age(now time.Time) {
	if l.seen.IsZero() {
		l.seen = now
		return
	}
	steps := int(now.Sub(l.seen) / (fade / 4))
	if steps <= 0 {
		return
	}
	l.seen = l.seen.Add(time.Duration(steps) * fade / 4)
	l.failures *= math.Pow(quarterLife, float64(steps))
	l.refusals *= math.Pow(quarterLife, float64(steps))
	l.latency = time.Duration(float64(l.latency) * math.Pow(slowFade, float64(steps)))
}

const (
	quarterLife = 0.841 // fourth root of a half
	slowFade    = 0.97  // for each quarter of fade
)

func (l *Stats) adopt(o *Stats) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l.latency, l.spread, l.failures, l.refusals = o.latency, o.spread, o.failures, o.refusals
	l.seen, l.waiting, l.told, l.banned, l.bans = o.seen, o.waiting, o.told, o.banned, o.bans
}
