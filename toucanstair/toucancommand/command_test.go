package toucancommand

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

var good = []string{"--name", "a", "--zone", "sierra"}

// Guards against a host that starts with a value that was not meant, and against
// an error that does not say which flag is wrong and what is allowed.
func TestBadFlagsAreNamed(t *testing.T) {
	for _, k := range [][]string{
		{"--name", "", "name", "letters"},
		{"--name", "a/1", "name", "letters"},
		{"--zone", strings.Repeat("z", 65), "zone", "1 to 64"},
		{"--callers", "localhost:80", "callers", "an IP address and port"},
		{"--peers", "127.0.0.1", "peers", "an IP address and port"},
		{"--peers", "0.0.0.0:0", "advertise", "needed when --peers listens on all addresses"},
		{"--ops", "127.0.0.1:70000", "ops", "an IP address and port"},
		{"--advertise", "0.0.0.0:1", "advertise", "not 0.0.0.0"},
		{"--source", "lo", "source", "an IP address of this machine"},
		{"--store", "127.0.0.1:0", "store", "an IP address and port"},
		{"--seeds", "127.0.0.1:1,b", "seeds", "separated by commas"},
		{"--beat", "2s", "beat", "10ms to 1s"},
		{"--beat", "soon", "beat", "a duration such as"},
		{"--inflight", "0", "inflight", "1 to 1000000"},
		{"--inflight", "many", "inflight", "a whole number"},
		{"--linger", "-1s", "linger", "0s to 1h0m0s"},
		{"--grace", "1s", "grace", "more than --linger"},
		{"--claims", "-1", "claims", "0 to 10000"},
		{"--trace", "file", "trace", "none, stdout, otlp"},
		{"--level", "loud", "level", "debug, info, warn, error"},
		{"--route", "first", "route", "random, balanced"},
		{"--hedge=maybe", "", "hedge", "true or false"},
	} {
		flag, value, name, allowed := k[0], k[1], k[2], k[3]
		args := append(good[:4:4], flag)
		if !strings.Contains(flag, "=") {
			args = append(args, value)
		}
		var out, log bytes.Buffer
		require.Equal(t, 2, Command{Out: &out, Err: &log}.Run(append(args, "--report")), flag)
		require.Contains(t, log.String(), "--"+name+" (TOUCANSTAIR_"+strings.ToUpper(name)+"): ", flag)
		require.Contains(t, log.String(), allowed, flag)
		require.Empty(t, out.String(), "no listener is opened")
	}
	for _, args := range [][]string{{"--absent"}, {"serve"}} {
		var log bytes.Buffer
		require.Equal(t, 2, Command{Err: &log}.Run(append(good[:4:4], args...)))
		require.Contains(t, log.String(), strings.TrimLeft(args[0], "-"))
	}
}

// Guards against a variable that is ignored, that overrides the command line, or
// whose bad value is accepted.
func TestEnvironmentSetsFlags(t *testing.T) {
	t.Setenv("TOUCANSTAIR_NAME", "from-environment")
	t.Setenv("TOUCANSTAIR_BEAT", "never")
	var log bytes.Buffer
	require.Equal(t, 2, Command{Err: &log}.Run(good))
	require.Contains(t, log.String(), `--beat (TOUCANSTAIR_BEAT): "never" is not allowed; allowed: a duration`)
	t.Setenv("TOUCANSTAIR_BEAT", "100ms")
	t.Setenv("TOUCANSTAIR_CLAIMS", "-5")
	log.Reset()
	require.Equal(t, 2, Command{Err: &log}.Run([]string{"--zone", "sierra", "--beat", "5s"}))
	require.Contains(t, log.String(), `--beat (TOUCANSTAIR_BEAT): "5s"`)
	log.Reset()
	require.Equal(t, 2, Command{Err: &log}.Run([]string{"--zone", "sierra"}))
	require.Contains(t, log.String(), "--claims")
}

func get(t *testing.T, method, url string) (int, string) {
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader("{}"))
	require.NoError(t, err)
	got, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer got.Body.Close()
	body, err := io.ReadAll(got.Body)
	require.NoError(t, err)
	return got.StatusCode, string(body)
}

// Guards against a host without configuration that accepts queries or says that
// it is ready, and against a signal that does not end the process.
func TestRunReportsServesAndStops(t *testing.T) {
	in, out := io.Pipe()
	signals := make(chan os.Signal, 2)
	code := make(chan int, 1)
	var log bytes.Buffer
	go func() {
		code <- Command{Out: out, Err: &log}.run(t.Context(), append(good[:4:4], "--report", "--linger", "10ms", "--trace", "stdout"), signals)
		_ = out.Close()
	}()
	var at addresses
	require.NoError(t, json.NewDecoder(in).Decode(&at))
	go func() { _, _ = io.Copy(io.Discard, in) }()
	status, body := get(t, http.MethodPost, "http://"+at.Callers+"/v1/search")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, `"code":"config","outcome":"notrun"`)
	status, _ = get(t, http.MethodGet, "http://"+at.Ops+"/ready")
	require.Equal(t, http.StatusServiceUnavailable, status)
	status, body = get(t, http.MethodGet, "http://"+at.Ops+"/metrics")
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, `toucan_refusals_total{code="config",outcome="notrun"}`)
	signals <- syscall.SIGTERM
	require.Equal(t, 0, <-code)
	require.Contains(t, log.String(), `"phase":"lingering"`)
}

// Guards against a second signal that is ignored or hides what it interrupted.
func TestSecondSignalInterrupts(t *testing.T) {
	core, logs := observer.New(zap.ErrorLevel)
	s := &Settings{Name: "a", Zone: "sierra", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", OpsAddress: "127.0.0.1:0", Grace: time.Hour}
	p, err := open(t.Context(), s, zap.New(core), noop.NewTracerProvider())
	require.NoError(t, err)
	require.Equal(t, p.peers.Addr().String(), s.AdvertisedAddress)
	require.True(t, p.drainer.BeginQuery())
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGTERM
	signals <- syscall.SIGTERM
	require.ErrorContains(t, p.run(t.Context(), signals), "interrupted 1 queries and 0 legs")
	require.Equal(t, 1, logs.FilterMessage("shutdown interrupted").Len())
}
