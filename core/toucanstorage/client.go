// Package toucanstorage is the client of the platform's key-value store, which
// toucanstore simulates.
package toucanstorage

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
)

// Client calls the store over HTTP. Every call is bounded in time and in the
// size of its reply. Errors are *toucanfault.Error: CODE_CONFLICT for a failed
// compare-and-swap, CODE_INVALID and CODE_UNKNOWN for requests that the store
// rejects, and CODE_STORE otherwise. The outcome of a failed write is notrun
// only if it can't have taken effect; reads have no effect and always report
// notrun. A zero Client has no address, and its calls return CODE_STORE.
type Client struct {
	addresses []string
	http      *http.Client
	log       *zap.Logger
	preferred atomic.Int64 // index of the address that succeeded last
}

// New returns a client of the store at the given "ip:port" addresses, which
// serve the same data; log may be nil.
func New(addresses []string, log *zap.Logger) *Client { return NewWithSource(nil, addresses, log) }

// NewWithSource is like New, with the source address of connections; nil leaves
// the choice to the system.
func NewWithSource(source *net.TCPAddr, addresses []string, log *zap.Logger) *Client {
	if log == nil {
		log = zap.NewNop()
	}
	return &Client{addresses: addresses, http: newHTTP(source), log: log}
}

// Get returns the entry of key, or nil when it is absent.
func (c *Client) Get(ctx context.Context, key string) (*toucanpb.Entry, error) {
	path, err := keyPath(key)
	if err != nil {
		return nil, err
	}
	var e toucanpb.Entry
	err = c.read(ctx, request{method: http.MethodGet, path: path}, &e)
	if f := toucanfault.As(err); f != nil && f.Code == toucanpb.Code_CODE_UNKNOWN {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return &e, nil
}

// List returns the entries whose keys start with prefix, ordered by key.
func (c *Client) List(ctx context.Context, prefix string) ([]*toucanpb.Entry, error) {
	var reply entryList
	path := "/v1/list?prefix=" + url.QueryEscape(prefix)
	if err := c.read(ctx, request{method: http.MethodGet, path: path}, &reply); err != nil {
		return nil, err
	}
	return reply.Entries, nil
}

// Put stores value under key if the key's revision is prev, where 0 means that
// it must be absent, and returns the new revision. With a lease the key is
// deleted when the lease expires. The value must not be empty, because a watch
// reports a deleted key as an entry without value.
func (c *Client) Put(ctx context.Context, key string, value []byte, prev uint64, lease string) (uint64, error) {
	path, err := keyPath(key)
	if err != nil {
		return 0, err
	}
	var reply struct {
		Revision uint64 `json:"revision"`
	}
	body := struct {
		Value []byte `json:"value"`
		Prev  uint64 `json:"prev"`
		Lease string `json:"lease,omitempty"`
	}{value, prev, lease}
	if err := c.write(ctx, request{method: http.MethodPut, path: path}, body, &reply); err != nil {
		return 0, err
	}
	return reply.Revision, nil
}

// Delete removes key if its revision is prev; with prev 0 it removes any
// revision and succeeds when the key is absent.
func (c *Client) Delete(ctx context.Context, key string, prev uint64) error {
	path, err := keyPath(key)
	if err != nil {
		return err
	}
	path += "?prev=" + strconv.FormatUint(prev, 10)
	return c.write(ctx, request{method: http.MethodDelete, path: path}, nil, nil)
}

// Watch waits up to 30 s for changes of keys that start with prefix and have a
// revision above after. It returns each change in order, a deleted key as an
// entry without value, and the revision to continue from. When the store no
// longer holds the changes since after, it returns the present entries.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]*toucanpb.Entry, uint64, error) {
	var reply entryList
	path := "/v1/watch?prefix=" + url.QueryEscape(prefix) + "&after=" + strconv.FormatUint(after, 10)
	if err := c.read(ctx, request{method: http.MethodGet, path: path, isWatch: true}, &reply); err != nil {
		return nil, 0, err
	}
	return reply.Entries, reply.Revision, nil
}

// Grant returns the id of a new lease that expires after ttl without renewal.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	var reply struct {
		Lease string `json:"lease"`
	}
	body := struct {
		TTL string `json:"ttl"`
	}{ttl.String()}
	if err := c.write(ctx, request{method: http.MethodPost, path: "/v1/lease"}, body, &reply); err != nil {
		return "", err
	}
	return reply.Lease, nil
}

// Renew extends a lease by its ttl; CODE_UNKNOWN means that it has expired.
func (c *Client) Renew(ctx context.Context, lease string) error {
	path := "/v1/lease/" + url.PathEscape(lease) + "/renew"
	return c.write(ctx, request{method: http.MethodPost, path: path}, struct{}{}, nil)
}

// Hosts returns the platform's list of live and leaving hosts, which may be
// stale.
func (c *Client) Hosts(ctx context.Context) ([]*toucanpb.HostStatus, error) {
	var reply struct {
		Hosts []*toucanpb.HostStatus `json:"hosts"`
	}
	if err := c.read(ctx, request{method: http.MethodGet, path: "/v1/hosts"}, &reply); err != nil {
		return nil, err
	}
	return reply.Hosts, nil
}

type entryList struct {
	Entries  []*toucanpb.Entry `json:"entries"`
	Revision uint64            `json:"revision"`
}

// keyPath encodes key as one escaped path segment, because HTTP clients and
// servers rewrite paths with empty or dot segments. A key that is itself a dot
// segment can't be encoded and returns CODE_INVALID.
func keyPath(key string) (string, error) {
	if key == "" || key == "." || key == ".." {
		return "", toucanfault.NotRun(toucanpb.Code_CODE_INVALID, fmt.Sprintf("key %q is not valid", key))
	}
	return "/v1/kv/" + url.PathEscape(key), nil
}

func encode(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	b, err := json.Marshal(body)
	if err != nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_INTERNAL, "encoding a store request").Because(err)
	}
	return b, nil
}
