package toucanstorage_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanstorage"
)

// Guards against a write that tries a second address after the first may have
// run it, and against a read that does not try it.
func TestWriteStaysWithFirstAddressOnceSent(t *testing.T) {
	var writes int
	second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			writes++
		}
		fmt.Fprint(w, `{"key":"k","value":"dg==","revision":4}`)
	}))
	defer second.Close()
	first, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer first.Close()
	go func() {
		for {
			c, err := first.Accept()
			if err != nil {
				return
			}
			c.Close()
		}
	}()
	client := toucanstorage.New([]string{first.Addr().String(), second.Listener.Addr().String()}, nil)
	_, err = client.Put(t.Context(), "k", []byte("v"), 0, "")
	f := toucanfault.As(err)
	require.NotNil(t, f)
	require.Equal(t, toucanpb.Code_CODE_STORE, f.Code)
	require.Equal(t, toucanpb.Outcome_OUTCOME_UNKNOWN, f.Outcome)
	require.Zero(t, writes)
	e, err := client.Get(t.Context(), "k")
	require.NoError(t, err)
	require.Equal(t, uint64(4), e.GetRevision())
}

// Guards against reading a reply of unlimited size into memory, and against
// accepting a truncated one.
func TestInvalidRepliesFail(t *testing.T) {
	reply := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, reply) }))
	defer server.Close()
	client := toucanstorage.New([]string{server.Listener.Addr().String()}, nil)
	for want, r := range map[string]string{
		"longer than":    strings.Repeat(" ", 3<<20),
		"not valid JSON": `{"revision":`,
	} {
		reply = r
		_, err := client.Put(t.Context(), "k", []byte("v"), 0, "")
		require.ErrorContains(t, err, want)
		require.Equal(t, toucanpb.Outcome_OUTCOME_UNKNOWN, toucanfault.As(err).Outcome)
	}
}

// Guards against a hung store blocking a host's goroutine without limit.
func TestCallsAreBoundedInTime(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	client := toucanstorage.New([]string{l.Addr().String()}, nil)
	began := time.Now()
	_, err = client.List(t.Context(), "")
	require.Equal(t, toucanpb.Outcome_OUTCOME_NOTRUN, toucanfault.As(err).Outcome)
	require.InDelta(t, 2, time.Since(began).Seconds(), 0.5)
}

// Guards against a client without an address blocking or panicking.
func TestZeroClient(t *testing.T) {
	var c toucanstorage.Client
	_, err := c.Grant(t.Context(), time.Second)
	require.Equal(t, toucanpb.Outcome_OUTCOME_NOTRUN, toucanfault.As(err).Outcome)
}

// Guards against store connections of a multi-homed host that do not use the
// configured source address.
func TestSourceAddress(t *testing.T) {
	var remote string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		remote, _, _ = net.SplitHostPort(r.RemoteAddr)
		fmt.Fprint(w, `{"entries":[],"revision":1}`)
	}))
	defer server.Close()
	source := &net.TCPAddr{IP: net.IPv4(127, 0, 9, 4)}
	_, err := toucanstorage.NewWithSource(source, []string{server.Listener.Addr().String()}, nil).List(t.Context(), "")
	require.NoError(t, err)
	require.Equal(t, "127.0.9.4", remote)
}
