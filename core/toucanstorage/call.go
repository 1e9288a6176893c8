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

	"toucanstair.example/core/toucandialer"
	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanstatus"
)

const (
	callTimeout = 2 * time.Second
	// The store replies to a watch within 30 s; the rest is for the network.
	watchTimeout = 35 * time.Second
	dialTimeout  = 500 * time.Millisecond
	// maxReplyBytes fits the largest value of the store: 1 MB is 1.4 MB in base64.
	maxReplyBytes = 2 << 20
)

type request struct {
	method  string
	path    string
	body    []byte
	isWatch bool
}

// attempt is the result of one request to one address.
type attempt struct {
	fault   *toucanfault.Error // nil on success
	tryNext bool               // another address may succeed
	sent    bool               // a byte of the request may have been sent
}

func newHTTP(source *net.TCPAddr) *http.Client {
	dialer := &toucandialer.Dialer{Dialer: net.Dialer{Timeout: dialTimeout}}
	if source != nil {
		dialer.LocalAddr = source
	}
	return &http.Client{
		// Replies carry no id, so only a connection of its own ties one to its call.
		Transport: &http.Transport{
			DialContext:        dialer.DialContext,
			DisableCompression: true,
			DisableKeepAlives:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// read tries the addresses in turn, starting with the last that succeeded. Each
// attempt gets an equal part of the remaining time, so that an address that
// hangs leaves time for the others. A watch may use all of it.
func (c *Client) read(ctx context.Context, r request, reply any) error {
	limit := callTimeout
	if r.isWatch {
		limit = watchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	deadline, _ := ctx.Deadline()
	n, first := len(c.addresses), int(c.preferred.Load())
	last := noAddress()
	for i := range n {
		at := (first + i) % n
		timeout := time.Until(deadline)
		if !r.isWatch {
			timeout /= time.Duration(n - i)
		}
		attemptCtx, stop := context.WithTimeout(ctx, timeout)
		a := c.attempt(attemptCtx, c.addresses[at], r, reply)
		stop()
		if a.fault == nil {
			c.preferred.Store(int64(at))
			return nil
		}
		a.fault.Outcome = toucanpb.Outcome_OUTCOME_NOTRUN
		last = a.fault
		if !a.tryNext || ctx.Err() != nil {
			break
		}
	}
	return last
}

// write tries the next address only if nothing of the request was sent to the
// previous one, because the write may take effect otherwise.
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
	// The request counts as sent once it has a connection.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, bytes.NewReader(r.body))
	if err != nil {
		f := toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "invalid store request to "+address).Because(err)
		return attempt{fault: f, tryNext: true}
	}
	if r.body != nil {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return c.exchangeFailure(address, sent.Load(), "no reply", err)
	}
	defer response.Body.Close()
	if err := toucanstatus.Code(response.StatusCode).CheckFinal(); err != nil {
		return c.exchangeFailure(address, true, "invalid reply", err)
	}
	b, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return c.exchangeFailure(address, true, "reading the reply failed", err)
	}
	if len(b) > maxReplyBytes {
		return c.exchangeFailure(address, true, fmt.Sprintf("reply is longer than %d bytes", maxReplyBytes), nil)
	}
	if response.StatusCode/100 != 2 {
		return c.statusFailure(address, response.StatusCode, b)
	}
	if reply == nil {
		return attempt{}
	}
	if err := json.Unmarshal(b, reply); err != nil {
		return c.exchangeFailure(address, true, "reply is not valid JSON", err)
	}
	return attempt{}
}

func (c *Client) exchangeFailure(address string, sent bool, detail string, cause error) attempt {
	f := toucanfault.NotRun(toucanpb.Code_CODE_STORE, "store "+address+": "+detail)
	if sent {
		f.Outcome = toucanpb.Outcome_OUTCOME_UNKNOWN
	}
	f.Cause = cause
	c.log.Debug("store call failed", zap.String("address", address), zap.Bool("sent", sent), zap.Error(f))
	return attempt{fault: f, tryNext: true, sent: sent}
}

func (c *Client) statusFailure(address string, status int, body []byte) attempt {
	var reason struct {
		Detail string `json:"detail"`
	}
	// Without a readable detail, the status is reported.
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
		return attempt{fault: toucanfault.Unknown(code, reason.Detail), tryNext: true, sent: true}
	}
	return attempt{fault: toucanfault.NotRun(code, reason.Detail), sent: true}
}

func noAddress() *toucanfault.Error {
	return toucanfault.NotRun(toucanpb.Code_CODE_STORE, "no store address is set")
}
