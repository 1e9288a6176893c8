// Package toucanfleet fetches the state of a set of hosts over HTTP.
package toucanfleet

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
)

const (
	// maxConnections limits concurrent requests, one connection each.
	maxConnections   = 32
	maxResponseBytes = 1 << 20
	requestTimeout   = 3 * time.Second
)

// Fleet is a set of hosts to query. The zero value holds none.
type Fleet struct {
	// Addresses of the hosts' listeners for operators, ip:port.
	Addresses []string
	// Client sends the requests; nil means http.DefaultClient.
	Client *http.Client
}

// Host is the state that one host reported. If the request failed, only Address
// and Error are set. Age (of the configuration, in seconds) and Lease (whether the
// host holds its lease) are the host's JSON, unchanged.
type Host struct {
	Address  string          `json:"address"`
	Host     string          `json:"host,omitempty"`
	Zone     string          `json:"zone,omitempty"`
	Revision uint64          `json:"revision"`
	Age      json.RawMessage `json:"age,omitempty"`
	View     struct {
		Number  uint64   `json:"number"`
		Members []string `json:"members"`
	} `json:"view"`
	Lease json.RawMessage `json:"lease,omitempty"`
	Error string          `json:"error,omitempty"`
}

// FetchStates queries the hosts concurrently, up to 32 at a time, with a timeout of
// 3 s each, and returns one Host per address, in the order of Addresses. The wait
// for other requests to end does not count towards the timeout.
func (f *Fleet) FetchStates(ctx context.Context) []Host {
	hosts := make([]Host, len(f.Addresses))
	semaphore := make(chan struct{}, maxConnections)
	var wg sync.WaitGroup
	for i, address := range f.Addresses {
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			h, err := f.fetchState(ctx, address)
			if err != nil {
				h = Host{Error: err.Error()}
			}
			h.Address = address
			hosts[i] = h
		})
	}
	wg.Wait()
	return hosts
}

// fetchState requests /state from one host. Errors have code CODE_DOWN, or
// CODE_INVALID if the body is not valid JSON.
func (f *Fleet) fetchState(ctx context.Context, address string) (Host, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/state", nil)
	if err != nil {
		return Host{}, downError("bad address").Because(err)
	}
	client := f.Client
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return Host{}, downError("not reached").Because(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return Host{}, downError("response broken off").Because(err)
	}
	if resp.StatusCode != http.StatusOK {
		return Host{}, downError("status " + resp.Status)
	}
	var h Host
	if err := json.Unmarshal(body, &h); err != nil {
		return Host{}, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "state").Because(err)
	}
	h.Error = ""
	return h, nil
}

// downError returns an error with code CODE_DOWN and outcome "not run".
func downError(detail string) *toucanfault.Error {
	return toucanfault.NotRun(toucanpb.Code_CODE_DOWN, detail)
}
