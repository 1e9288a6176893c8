package toucanspec

import "fmt"

// Replica describes one simulated replica and how it behaves. The JSON body of
// PUT /admin/replica/<id> changes the fields that it contains.
type Replica struct {
	ID            string   `json:"id"`
	Service       string   `json:"service"`
	Shard         uint32   `json:"shard"`
	Version       string   `json:"version,omitempty"` // label of the service version
	Indexes       []uint64 `json:"indexes,omitempty"` // index versions at the start; [1] when empty
	IndexInterval Duration `json:"every,omitempty"`   // how often a new index version is added and the oldest removed

	Slots          int      `json:"slots,omitempty"`       // legs served concurrently; 0 means 1
	RejectExcess   bool     `json:"shed,omitempty"`        // refuse legs above Slots, or above 1 when cold, instead of slowing down or crashing
	MaxConnections int      `json:"connections,omitempty"` // 0 means unlimited
	ConnectCost    Duration `json:"connect,omitempty"`     // time to set up a new connection

	Work          Work          `json:"work,omitzero"`
	ColdStart     ColdStart     `json:"warm,omitzero"`
	Straggle      Straggle      `json:"straggle,omitzero"`
	VersionFaults VersionFaults `json:"bad,omitzero"`
	BadResponses  BadResponses  `json:"answers,omitzero"`
	Health        Health        `json:"health,omitzero"`

	Draining bool `json:"draining,omitempty"` // report the draining state
	Refuse   bool `json:"refuse,omitempty"`   // refuse every leg before running it
}

// Work is the log-normal distribution of the service time of a leg.
type Work struct {
	Median Duration `json:"median,omitempty"`
	Spread float64  `json:"spread,omitempty"` // standard deviation of the logarithm
}

// ColdStart describes the cold start. A cold replica handles one leg at a time
// and crashes when it gets more, unless RejectExcess is set. It is warm after
// Count responses or after Time, whichever is set and comes first; with neither
// set it is never cold.
type ColdStart struct {
	Count     int      `json:"count,omitempty"`
	Time      Duration `json:"time,omitempty"`
	Factor    float64  `json:"factor,omitempty"` // multiplies the service time while cold; 0 means 3
	HideState bool     `json:"silent,omitempty"` // the Toucan-State header does not report cold
}

// Straggle multiplies the service time of a share of the legs by Factor.
type Straggle struct {
	Share  float64 `json:"share,omitempty"`
	Factor float64 `json:"factor,omitempty"`
}

// VersionFaults describes how a bad service version misbehaves.
type VersionFaults struct {
	Fail        float64 `json:"fail,omitempty"`  // share of legs that end with status 500
	Slow        float64 `json:"slow,omitempty"`  // multiplies the service time
	AfterLegs   int     `json:"after,omitempty"` // only after this many legs
	MinInFlight int     `json:"load,omitempty"`  // only with at least this many legs in flight
	Route       string  `json:"route,omitempty"` // only on this route
}

// BadResponses holds the share of responses, from 0 to 1, that are bad in each way.
type BadResponses struct {
	Late      float64  `json:"late,omitempty"`      // sent Delay after the leg's deadline
	Delay     Duration `json:"delay,omitempty"`     // 0 means 100 ms
	Crossed   float64  `json:"crossed,omitempty"`   // the previous response on the same connection
	Garbage   float64  `json:"garbage,omitempty"`   // a body that is not JSON
	Truncated float64  `json:"truncated,omitempty"` // half the body, with the Content-Length of the whole
	Endless   float64  `json:"endless,omitempty"`   // a body that never ends
}

// Health overrides what the health and load endpoints report.
type Health struct {
	Lag   Duration `json:"lag,omitempty"`   // how old the reported values are
	State string   `json:"state,omitempty"` // reported instead of the actual state
	Load  *int     `json:"load,omitempty"`  // reported instead of the actual load
}

// ItemSuffix returns the text that a simulated replica appends to every item, so
// that checks can tell where the item came from.
func ItemSuffix(service string, shard uint32, index uint64) string {
	return fmt.Sprintf("[service=%s shard=%d index=%d]", service, shard, index)
}
