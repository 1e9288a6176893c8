package toucanslot

import "time"

const (
	// slowFactor times the median is the latency above which a response is slow.
	slowFactor = 4
	// maxConsecutiveSlow is the number of slow responses in a row that indicates a
	// cold target.
	maxConsecutiveSlow = 3
	// minSlowLatency is the least latency that counts as slow, so that scheduling
	// delays do not make a fast target look cold.
	minSlowLatency = 5 * time.Millisecond
	// medianStepDivisor divides the median to give the step by which each response
	// moves the estimate.
	medianStepDivisor = 16
)

// latencyEstimate is a streaming estimate of the median service time and a count
// of consecutive slow responses.
type latencyEstimate struct {
	median          time.Duration
	consecutiveSlow int
}

// observe adds a response and reports whether it was in time.
func (s *latencyEstimate) observe(took time.Duration) bool {
	if s.median == 0 {
		s.median = max(took, 1)
		return true
	}
	inTime := s.inTime(took)
	step := max(1, s.median/medianStepDivisor)
	if took > s.median {
		s.median += step
	} else if took < s.median {
		s.median -= step
	}
	if inTime {
		s.consecutiveSlow = 0
	} else {
		s.consecutiveSlow++
	}
	return inTime
}

// observeAborted adds a request that ended without a valid response after took. It
// does not change the median, but counts as slow if it already took that long.
func (s *latencyEstimate) observeAborted(took time.Duration) {
	if s.median > 0 && !s.inTime(took) {
		s.consecutiveSlow++
	}
}

// inTime reports whether a response that took so long is not slow.
func (s *latencyEstimate) inTime(took time.Duration) bool {
	return took <= max(slowFactor*s.median, minSlowLatency)
}
