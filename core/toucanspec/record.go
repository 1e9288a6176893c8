package toucanspec

// Ledger is the reply of GET /admin/ledger. Times are monotonic, counted from
// the start of the process.
type Ledger struct {
	Now      Duration          `json:"now"`
	Replicas map[string]Record `json:"replicas"`
}

// Record counts what one replica received and did. MaxInFlight and InFlight
// include legs that are about to be refused; a cancelled leg stays in flight
// until the replica has seen its connection close.
type Record struct {
	Slots                  int    `json:"slots"`
	Requests               uint64 `json:"requests"`
	Done                   uint64 `json:"done"`      // status 200
	Refused                uint64 `json:"refused"`   // status 503 with Toucan-Refused, not run
	IndexMisses            uint64 `json:"missed"`    // status 409, index version not served
	Failed                 uint64 `json:"failed"`    // status 500, or 504 once the deadline has passed
	Cancelled              uint64 `json:"cancelled"` // the client disconnected
	Overloads              uint64 `json:"overloads"` // legs that arrived while Slots or more others were in flight
	Crashes                uint64 `json:"falls"`     // simulated crashes under load in cold start
	BadResponses           uint64 `json:"bad"`       // responses of the kinds in Replica.BadResponses
	MaxInFlight            int    `json:"peak"`
	MaxInFlightCold        int    `json:"peakcold"`
	InFlight               int    `json:"held"`        // now
	AcceptedConnections    uint64 `json:"opened"`      // count since start
	RejectedConnections    uint64 `json:"unopened"`    // closed because the limit was reached
	MaxOpenConnections     int    `json:"connections"` // highest number open at once
	OpenConnections        int    `json:"open"`        // now
	MaxOpenConnectionsCold int    `json:"coldopen"`    // highest number open when one was opened in cold start

	Runs     map[string]uint64 `json:"runs"`     // runs started, by idempotency key
	Versions map[string]uint64 `json:"versions"` // requests received, by version of the replica
	Routes   map[string]uint64 `json:"routes"`   // requests received, by route
	Indexes  map[uint64]uint64 `json:"indexes"`  // requests received, by requested index version

	DrainStartedAt *Duration `json:"drained,omitempty"` // last start of draining; nil if it never drained
	// The last cold start that a change of behaviour triggered: its start, the
	// first response that reported it, and the legs that arrived while another
	// leg was in flight.
	ColdStartAt         *Duration `json:"chilled,omitempty"`
	ColdReportedAt      *Duration `json:"signed,omitempty"`
	ConcurrentWhileCold Span      `json:"crowded"`

	Faults     Span `json:"faults"` // legs affected by Replica.VersionFaults; in cold start only failed ones, not slow ones
	All        Span `json:"all"`    // all requests received
	AfterDrain Span `json:"after"`  // requests received while draining, since DrainStartedAt
}

// Span counts requests and holds the times of the first and the last one.
type Span struct {
	Count uint64   `json:"count"`
	First Duration `json:"first"`
	Last  Duration `json:"last"`
}

// Add counts a request received at the given time.
func (s *Span) Add(at Duration) {
	if s.Count == 0 {
		s.First = at
	}
	s.Count++
	s.Last = at
}
