package toucanspec

import "fmt"

// Replica describes one stand-in replica and how it behaves. A JSON body of
// PUT /admin/replica/<id> changes the fields that it names.
type Replica struct {
	ID            string   `json:"id"`
	Service       string   `json:"service"`
	Shard         uint32   `json:"shard"`
	Version       string   `json:"version,omitempty"` // label of the service version
	Indexes       []uint64 `json:"indexes,omitempty"` // index versions at the start; [1] when empty
	IndexInterval Duration `json:"every,omitempty"`   // interval at which a new index version appears and the oldest goes

	Slots          int      `json:"slots,omitempty"`       // legs at once; 1 when 0
	RejectExcess   bool     `json:"shed,omitempty"`        // refuse legs above Slots instead of degrading
	MaxConnections int      `json:"connections,omitempty"` // limit; 0 is none
	ConnectCost    Duration `json:"connect,omitempty"`     // cost of a new connection

	Work          Work          `json:"work,omitzero"`
	ColdStart     ColdStart     `json:"warm,omitzero"`
	Straggle      Straggle      `json:"straggle,omitzero"`
	VersionFaults VersionFaults `json:"bad,omitzero"`
	BadResponses  BadResponses  `json:"answers,omitzero"`
	Health        Health        `json:"health,omitzero"`

	Draining bool `json:"draining,omitempty"` // announce draining
	Refuse   bool `json:"refuse,omitempty"`   // refuse every leg as not run
}

// Work is the log-normal distribution of the work time.
type Work struct {
	Median Duration `json:"median,omitempty"`
	Spread float64  `json:"spread,omitempty"` // standard deviation of the logarithm
}

// ColdStart describes the cold start. A cold replica handles one leg at once; more
// makes it fall over, unless it sheds. It is warm after Count responses or
// after Time, whichever comes first of those set; with neither it never is
// cold.
type ColdStart struct {
	Count     int      `json:"count,omitempty"`
	Time      Duration `json:"time,omitempty"`
	Factor    float64  `json:"factor,omitempty"` // work time while cold; 3 when 0
	HideState bool     `json:"silent,omitempty"` // Toucan-State does not say cold
}

// Straggle makes a share of the legs slower by a factor.
type Straggle struct {
	Share  float64 `json:"share,omitempty"`
	Factor float64 `json:"factor,omitempty"`
}

// VersionFaults describes the faults of a bad version.
type VersionFaults struct {
	Fail        float64 `json:"fail,omitempty"`  // share of legs that end with status 500
	Slow        float64 `json:"slow,omitempty"`  // factor of the work time
	AfterLegs   int     `json:"after,omitempty"` // only after this many legs
	MinInFlight int     `json:"load,omitempty"`  // only with at least this many legs at once
	Route       string  `json:"route,omitempty"` // only on this route
}

// BadResponses gives the share of bad responses of each kind.
type BadResponses struct {
	Late      float64  `json:"late,omitempty"`  // by Delay after the leg's deadline
	Delay     Duration `json:"delay,omitempty"` // 100 ms when 0
	Crossed   float64  `json:"crossed,omitempty"`
	Garbage   float64  `json:"garbage,omitempty"`
	Truncated float64  `json:"truncated,omitempty"`
	Endless   float64  `json:"endless,omitempty"`
}

// Health describes the health and load endpoints.
type Health struct {
	Lag   Duration `json:"lag,omitempty"`
	State string   `json:"state,omitempty"` // reported instead of the true state
	Load  *int     `json:"load,omitempty"`  // reported instead of the true load
}

// ItemSuffix is the text at the end of every item, which names its origin.
func ItemSuffix(service string, shard uint32, index uint64) string {
	return fmt.Sprintf("[service=%s shard=%d index=%d]", service, shard, index)
}
