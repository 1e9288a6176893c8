package toucanslot

import "time"

const (
	// slowFactor times the median is slow; slowRun in a row are a sign of a cold target.
	slowFactor = 4
	slowRun    = 3
	// slowFloor keeps scheduling delays of fast targets from looking cold.
	slowFloor = 5 * time.Millisecond
	// medianStep is the share by which the estimate moves for each response.
	medianStep = 16
)

// speed is a streaming estimate of the median service time with a count of
// slow responses in a row.
type speed struct {
	median time.Duration
	run    int
}

// observe adds a response and reports whether it was in time.
func (s *speed) observe(took time.Duration) bool {
	if s.median == 0 {
		s.median = max(took, 1)
		return true
	}
	inTime := s.inTime(took)
	step := max(1, s.median/medianStep)
	if took > s.median {
		s.median += step
	} else if took < s.median {
		s.median -= step
	}
	if inTime {
		s.run = 0
	} else {
		s.run++
	}
	return inTime
}

// cut adds a request that ended without a response after took. It says
// nothing of the median, but may show that a response would have been slow.
func (s *speed) cut(took time.Duration) {
	if s.median > 0 && !s.inTime(took) {
		s.run++
	}
}

func (s *speed) inTime(took time.Duration) bool {
	return took <= max(slowFactor*s.median, slowFloor)
}
