// Package toucanfleet asks hosts for their state.
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
	// atOnce bounds the connections that are open at a time.
	atOnce   = 32
	maxBytes = 1 << 20
	timeout  = 3 * time.Second
)

// Fleet is a set of hosts. The zero value is empty.
type Fleet struct {
	// Addresses are those of the hosts' operators' listeners, ip:port.
	Addresses []string
	// Client is http.DefaultClient when nil.
	Client *http.Client
}

// Host is the answer of one host, or the reason why there is none. Age and
// Lease have the form that the host gave them.
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

// FetchStates asks all hosts at once; the result is in the order of the addresses.
func (f *Fleet) FetchStates(ctx context.Context) []Host {
	out := make([]Host, len(f.Addresses))
	room := make(chan struct{}, atOnce)
	var wg sync.WaitGroup
	for i, address := range f.Addresses {
		wg.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			h, err := f.ask(ctx, address)
			if err != nil {
				h = Host{Error: err.Error()}
			}
			h.Address = address
			out[i] = h
		})
	}
	wg.Wait()
	return out
}

func (f *Fleet) ask(ctx context.Context, address string) (Host, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/state", nil)
	if err != nil {
		return Host{}, down("bad address").Because(err)
	}
	client := f.Client
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return Host{}, down("not reached").Because(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes))
	if err != nil {
		return Host{}, down("response broken off").Because(err)
	}
	if resp.StatusCode != http.StatusOK {
		return Host{}, down("status " + resp.Status)
	}
	var h Host
	if err := json.Unmarshal(body, &h); err != nil {
		return Host{}, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "state").Because(err)
	}
	h.Error = ""
	return h, nil
}

func down(detail string) *toucanfault.Error {
	return toucanfault.NotRun(toucanpb.Code_CODE_DOWN, detail)
}
