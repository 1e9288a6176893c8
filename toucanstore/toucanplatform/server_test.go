package toucanplatform_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanstorage"
	"toucanstair.example/toucanstore/toucankv"
	"toucanstair.example/toucanstore/toucanplatform"
)

const (
	notRun  = toucanpb.Outcome_OUTCOME_NOTRUN
	unknown = toucanpb.Outcome_OUTCOME_UNKNOWN
)

// newClient returns a client whose first address refuses every connection and
// whose second one is the store's.
func newClient(address string) *toucanstorage.Client {
	return toucanstorage.New([]string{"127.0.0.1:1", address}, nil)
}

// start serves an empty store and returns a client of its data API and a function
// that calls its admin API and returns the reply.
func start(t *testing.T) (client *toucanstorage.Client, admin func(method, path, body string) string) {
	client, admin, _ = startWithAddress(t)
	return client, admin
}

// startWithAddress is start that also returns the address of the data API.
func startWithAddress(t *testing.T) (client *toucanstorage.Client, admin func(method, path, body string) string, address string) {
	ctx, cancel := context.WithCancel(context.Background())
	store := toucankv.New()
	expired := store.Run(ctx)
	server := &toucanplatform.Server{Store: store}
	data, adminAddress, ended, err := server.Start(ctx, "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
		require.NoError(t, <-expired)
	})
	return newClient(data), func(method, path, body string) string {
		request, err := http.NewRequest(method, "http://"+adminAddress+path, strings.NewReader(body))
		require.NoError(t, err)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		defer response.Body.Close()
		b, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode, "%s", b)
		return string(b)
	}, data
}

func requireFault(t *testing.T, err error, code toucanpb.Code, outcome toucanpb.Outcome) {
	t.Helper()
	f := toucanfault.As(err)
	require.NotNil(t, f, "%v", err)
	require.Equal(t, code, f.Code, "%v", err)
	require.Equal(t, outcome, f.Outcome, "%v", err)
}

// Guards against two concurrent writers that both succeed with the same expected
// revision.
func TestCompareAndSwapHasOneWinner(t *testing.T) {
	client, _ := start(t)
	ctx := t.Context()
	var group sync.WaitGroup
	wins := make(chan uint64, 16)
	for range 16 {
		group.Go(func() {
			revision, err := client.Put(ctx, "config/head", []byte("a"), 0, "")
			if err == nil {
				wins <- revision
				return
			}
			requireFault(t, err, toucanpb.Code_CODE_CONFLICT, notRun)
		})
	}
	group.Wait()
	require.Len(t, wins, 1)
	e, err := client.Get(ctx, "config/head")
	require.NoError(t, err)
	require.Equal(t, <-wins, e.GetRevision())
	requireFault(t, client.Delete(ctx, "config/head", e.GetRevision()+1), toucanpb.Code_CODE_CONFLICT, notRun)
	require.NoError(t, client.Delete(ctx, "config/head", e.GetRevision()))
	e, err = client.Get(ctx, "config/head")
	require.NoError(t, err)
	require.Nil(t, e)
}

// Guards against keys that an HTTP router or client normalizes (slashes, dots,
// escapes), which would merge the claims of two callers.
func TestKeysAreNotNormalized(t *testing.T) {
	client, _ := start(t)
	for _, key := range []string{"a/b", "a//b", "a/../b", "a/./b", "a?b#c", "a%2Fb", "a b/ü", "/a/"} {
		_, err := client.Put(t.Context(), key, []byte(key), 0, "")
		require.NoError(t, err, key)
		e, err := client.Get(t.Context(), key)
		require.NoError(t, err)
		require.Equal(t, key, string(e.GetValue()))
	}
	all, err := client.List(t.Context(), "a/")
	require.NoError(t, err)
	require.Len(t, all, 4)
}

// Guards against a failed write that reports "not run" although it took effect.
// The store's revision shows whether it did.
func TestFailedWriteReportsCorrectOutcome(t *testing.T) {
	_, admin, address := startWithAddress(t)
	ctx := t.Context()
	counts := func() (c toucanplatform.Counts) {
		require.NoError(t, json.Unmarshal([]byte(admin("GET", "/admin/counts", "")), &c))
		return c
	}
	for name, c := range map[string]struct {
		fault   string
		effect  uint64
		outcome toucanpb.Outcome
	}{
		"reply lost":      {`{"lose":1}`, 1, unknown},
		"request dropped": {`{"drop":1}`, 0, unknown},
		"hanging":         {`{"down":"hang"}`, 0, unknown},
		"refusing":        {`{"down":"refuse"}`, 0, notRun},
	} {
		// On a kept-alive connection that the outage closed, the outcome would
		// be unknown; a new client has no such connection.
		client := newClient(address)
		before := counts().Revision
		admin("PUT", "/admin/fault", c.fault)
		_, err := client.Put(ctx, "k/"+name, []byte("v"), 0, "")
		requireFault(t, err, toucanpb.Code_CODE_STORE, c.outcome)
		// The store notices a little later that the client disconnected; a write
		// still held would take effect when the outage ends.
		require.Eventually(t, func() bool { return counts().Hung == 0 }, 5*time.Second, time.Millisecond)
		admin("PUT", "/admin/fault", `{}`)
		require.Equal(t, before+c.effect, counts().Revision, name)
		e, err := newClient(address).Get(ctx, "k/"+name)
		require.NoError(t, err, name)
		require.Equal(t, c.effect == 1, e != nil, name)
	}
}

// putWithShortLease puts a key with a lease that expires soon. It returns the lease and
// the revision of the put. On a slow machine the lease may expire before the put, which
// is then repeated with a longer one.
func putWithShortLease(t *testing.T, client *toucanstorage.Client, key string) (lease string, revision uint64) {
	t.Helper()
	for ttl := 50 * time.Millisecond; ttl < time.Minute; ttl *= 2 {
		began := time.Now()
		lease, err := client.Grant(t.Context(), ttl)
		require.NoError(t, err)
		revision, err := client.Put(t.Context(), key, []byte("v"), 0, lease)
		if err == nil {
			return lease, revision
		}
		requireFault(t, err, toucanpb.Code_CODE_UNKNOWN, notRun)
		require.GreaterOrEqual(t, time.Since(began), ttl, "the lease expired too early")
	}
	require.Fail(t, "no put was in time")
	return "", 0
}

// Guards against claims and liveness keys that remain after their lease has
// expired.
func TestKeysAreDeletedWithTheirLease(t *testing.T) {
	client, admin := start(t)
	ctx := t.Context()
	long, err := client.Grant(ctx, time.Hour)
	require.NoError(t, err)
	_, err = client.Put(ctx, "long", []byte("v"), 0, long)
	require.NoError(t, err)
	short, first := putWithShortLease(t, client, "short")
	gone, after, err := client.Watch(ctx, "", first)
	require.NoError(t, err)
	require.Len(t, gone, 1)
	require.Equal(t, "short", gone[0].GetKey())
	require.Empty(t, gone[0].GetValue())
	requireFault(t, client.Renew(ctx, short), toucanpb.Code_CODE_UNKNOWN, notRun)
	require.NoError(t, client.Renew(ctx, long))
	admin("PUT", "/admin/fault", `{"lapse":"`+long+`"}`)
	gone, _, err = client.Watch(ctx, "", after)
	require.NoError(t, err)
	require.Equal(t, "long", gone[0].GetKey())
	_, err = client.Put(ctx, "late", []byte("v"), 0, long)
	requireFault(t, err, toucanpb.Code_CODE_UNKNOWN, notRun)
}

// Guards against a watch that skips a change, which would leave a host on a
// stale configuration.
func TestWatchSeesEveryChange(t *testing.T) {
	client, _ := start(t)
	ctx := t.Context()
	const changes = 60
	large := strings.Repeat("x", 100<<10)
	written := make(chan error, 1)
	go func() {
		var prev uint64
		var err error
		for range changes {
			if prev, err = client.Put(ctx, "config/head", []byte(large), prev, ""); err != nil {
				break
			}
			// The key is new each time, as prev grows.
			if _, err = client.Put(ctx, "other/"+large[:prev], []byte("v"), 0, ""); err != nil {
				break
			}
		}
		written <- err
	}()
	follow := func() {
		var seen []uint64
		var after uint64
		for len(seen) < changes {
			found, next, err := client.Watch(ctx, "config/", after)
			require.NoError(t, err)
			require.NotEmpty(t, found, "after %d", after)
			for _, e := range found {
				require.Len(t, e.GetValue(), len(large))
				seen = append(seen, e.GetRevision())
			}
			after = next
		}
		// Revisions alternate between config/head and the other keys.
		for i, revision := range seen {
			require.Equal(t, uint64(2*i+1), revision)
		}
	}
	follow()
	require.NoError(t, <-written)
	// All changes are there now, so they come in several batches.
	follow()
}

// Guards against accepting values larger than the platform's limit of 1 MiB.
func TestValueLimit(t *testing.T) {
	client, _ := start(t)
	_, err := client.Put(t.Context(), "k", make([]byte, 1<<20), 0, "")
	require.NoError(t, err)
	e, err := client.Get(t.Context(), "k")
	require.NoError(t, err)
	require.Len(t, e.GetValue(), 1<<20)
	_, err = client.Put(t.Context(), "k", make([]byte, 1<<20+1), e.GetRevision(), "")
	requireFault(t, err, toucanpb.Code_CODE_INVALID, notRun)
}

// Guards against a read lag or a host list lag that has no effect, which would let
// the tests of the hosts pass without the fault.
func TestReadLagAndHostListLag(t *testing.T) {
	client, admin := start(t)
	ctx := t.Context()
	_, err := client.Put(ctx, "k", []byte("v"), 0, "")
	require.NoError(t, err)
	admin("PUT", "/admin/hosts", `{"lag":"1h","hosts":[{"name":"a","state":"live"}]}`)
	admin("PUT", "/admin/fault", `{"stale":"1h"}`)
	e, err := client.Get(ctx, "k")
	require.NoError(t, err)
	require.Nil(t, e)
	hosts, err := client.Hosts(ctx)
	require.NoError(t, err)
	require.Empty(t, hosts)
	admin("PUT", "/admin/fault", `{"stale":"30ms"}`)
	found, _, err := client.Watch(ctx, "k", 0)
	require.NoError(t, err)
	require.Len(t, found, 1)
	admin("PUT", "/admin/hosts", `{"lag":"0s"}`)
	hosts, err = client.Hosts(ctx)
	require.NoError(t, err)
	require.Equal(t, "live", hosts[0].GetState())
	require.JSONEq(t, `{"reads":3,"writes":1,"watches":1,"revision":1,"hung":0}`, admin("GET", "/admin/counts", ""))
}
