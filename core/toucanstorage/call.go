package toucanstorage

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
)

const (
	callTimeout = 2 * time.Second
	// The store answers a watch after 30 s at the latest; the rest is for
	// the network.
	watchTimeout = 35 * time.Second
	dialTimeout  = 500 * time.Millisecond
	// A value of 1 MB is 1.4 MB in base64.
	replyLimit = 2 << 20
)

type request struct {
	method string
	path   string
	body   []byte
	watch  bool
}

// attempt is the end of one request to one address.
type attempt struct {
	fault *toucanfault.Error // nil when the store answered with success
	next  bool               // another address may answer
	sent  bool               // a byte of the request may have been sent
}

func newHTTP(source *net.TCPAddr) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if source != nil {
		dialer.LocalAddr = source
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 16,
			IdleConnTimeout:     90 * time.Second,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// read tries the addresses in turn. Each attempt gets an equal part of the
// remaining time, so that one address that hangs leaves time for the others.
func (c *Client) read(ctx context.Context, r request, reply any) error {
	limit := callTimeout
	if r.watch {
		limit = watchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	deadline, _ := ctx.Deadline()
	n, first := len(c.addresses), int(c.preferred.Load())
	last := noAddress()
	for i := range n {
		at := (first + i) % n
		part := time.Until(deadline)
		if !r.watch {
			part /= time.Duration(n - i)
		}
		one, stop := context.WithTimeout(ctx, part)
		a := c.attempt(one, c.addresses[at], r, reply)
		stop()
		if a.fault == nil {
			c.preferred.Store(int64(at))
			return nil
		}
		a.fault.Outcome = toucanpb.Outcome_OUTCOME_NOTRUN
		last = a.fault
		if !a.next || ctx.Err() != nil {
			break
		}
	}
	return last
}

// write sends a request to the next address only when nothing of it was sent
// to the one before.
func (c *Client) write(ctx context.Context, r request, body, reply any) error {
	b, err := encode(body)
	if err != nil {
		return err
	}
	r.body = b
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	n, first := len(c.addresses), int(c.preferred.Load())
	last := noAddress()
	for i := range n {
		at := (first + i) % n
		a := c.attempt(ctx, c.addresses[at], r, reply)
		if a.fault == nil {
			c.preferred.Store(int64(at))
			return nil
		}
		last = a.fault
		if a.sent || ctx.Err() != nil {
			break
		}
	}
	return last
}

func (c *Client) attempt(ctx context.Context, address string, r request, reply any) attempt {
	// The request counts as sent from the moment it is given a connection.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	q, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, bytes.NewReader(r.body))
	if err != nil {
		f := toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "store request to "+address).Because(err)
		return attempt{fault: f, next: true}
	}
	if r.body != nil {
		q.Header.Set("Content-Type", "application/json")
	}
	p, err := c.http.Do(q)
	if err != nil {
		return c.failed(address, sent.Load(), "no reply", err)
	}
	defer p.Body.Close()
	b, err := io.ReadAll(io.LimitReader(p.Body, replyLimit+1))
	if err != nil {
		return c.failed(address, true, "reply broke off", err)
	}
	if len(b) > replyLimit {
		return c.failed(address, true, fmt.Sprintf("reply is longer than %d bytes", replyLimit), nil)
	}
	if p.StatusCode/100 != 2 {
		return c.rejected(address, p.StatusCode, b)
	}
	if reply == nil {
		return attempt{}
	}
	if err := json.Unmarshal(b, reply); err != nil {
		return c.failed(address, true, "reply is not valid JSON", err)
	}
	return attempt{}
}

func (c *Client) failed(address string, sent bool, detail string, cause error) attempt {
	f := toucanfault.NotRun(toucanpb.Code_CODE_STORE, "store "+address+": "+detail)
	if sent {
		f.Outcome = toucanpb.Outcome_OUTCOME_UNKNOWN
	}
	f.Cause = cause
	c.log.Debug("store call failed", zap.String("address", address), zap.Bool("sent", sent), zap.Error(f))
	return attempt{fault: f, next: true, sent: sent}
}

func (c *Client) rejected(address string, status int, body []byte) attempt {
	var reason struct {
		Detail string `json:"detail"`
	}
	// A reply without a readable reason still has its status.
	if json.Unmarshal(body, &reason) != nil || reason.Detail == "" {
		reason.Detail = fmt.Sprintf("store %s answered status %d", address, status)
	}
	code := toucanpb.Code_CODE_STORE
	switch status {
	case http.StatusConflict:
		code = toucanpb.Code_CODE_CONFLICT
	case http.StatusNotFound:
		code = toucanpb.Code_CODE_UNKNOWN
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		code = toucanpb.Code_CODE_INVALID
	default:
		return attempt{fault: toucanfault.Unknown(code, reason.Detail), next: true, sent: true}
	}
	return attempt{fault: toucanfault.NotRun(code, reason.Detail), sent: true}
}

func noAddress() *toucanfault.Error {
	return toucanfault.NotRun(toucanpb.Code_CODE_STORE, "no store address is set")
}
