package toucanspec

// Ledger is the reply of GET /admin/ledger. Times are monotonic, counted from
// the start of the process.
type Ledger struct {
	Now      Duration          `json:"now"`
	Replicas map[string]Record `json:"replicas"`
}

// Record is what one replica received and did. Peak counts the legs that are
// held at once, with those about to be refused; a leg whose caller cancelled
// it is held until the replica has seen the end of the connection.
type Record struct {
	Slots                  int    `json:"slots"`
	Requests               uint64 `json:"requests"`
	Done                   uint64 `json:"done"`      // answered with status 200
	Refused                uint64 `json:"refused"`   // status 503 with Toucan-Refused, not run
	IndexMisses            uint64 `json:"missed"`    // status 409, index version not served
	Failed                 uint64 `json:"failed"`    // status 500
	Cancelled              uint64 `json:"cancelled"` // the caller went away
	Overloads              uint64 `json:"overloads"` // legs that arrived above Slots
	Crashes                uint64 `json:"falls"`     // times it fell over in cold start
	BadResponses           uint64 `json:"bad"`       // late, crossed, garbage, truncated and endless answers
	MaxInFlight            int    `json:"peak"`
	MaxInFlightCold        int    `json:"peakcold"`
	InFlight               int    `json:"held"`        // at present
	AcceptedConnections    uint64 `json:"opened"`      // connections accepted
	RejectedConnections    uint64 `json:"unopened"`    // connections closed above the limit
	MaxOpenConnections     int    `json:"connections"` // highest at once
	OpenConnections        int    `json:"open"`        // connections at present
	MaxOpenConnectionsCold int    `json:"coldopen"`    // connections at once when one was opened in cold start

	Runs     map[string]uint64 `json:"runs"` // started runs by key
	Versions map[string]uint64 `json:"versions"`
	Routes   map[string]uint64 `json:"routes"`
	Indexes  map[uint64]uint64 `json:"indexes"`

	DrainStartedAt *Duration `json:"drained,omitempty"` // when draining began
	// Times of the last cold start that a change of behaviour began: its begin,
	// the first response that showed it, and legs that arrived while another
	// one was held.
	ColdStartAt         *Duration `json:"chilled,omitempty"`
	ColdReportedAt      *Duration `json:"signed,omitempty"`
	ConcurrentWhileCold Span      `json:"crowded"`

	Faults     Span `json:"faults"` // legs that met the fault of a bad version; slow ones in cold start do not show it
	All        Span `json:"all"`
	AfterDrain Span `json:"after"` // requests after draining began
}

// Span counts requests with the times of the first and the last.
type Span struct {
	Count uint64   `json:"count"`
	First Duration `json:"first"`
	Last  Duration `json:"last"`
}

// Add counts a request at a time.
func (s *Span) Add(at Duration) {
	if s.Count == 0 {
		s.First = at
	}
	s.Count++
	s.Last = at
}
