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

var validArgs = []string{"--name", "a", "--zone", "sierra"}

// Guards against a host that starts with an invalid value, and against an error that
// does not name the flag and its allowed values.
func TestBadFlagsAreNamed(t *testing.T) {
	for _, testCase := range [][]string{
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
		flag, value, name, allowed := testCase[0], testCase[1], testCase[2], testCase[3]
		args := append(validArgs[:4:4], flag)
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
		require.Equal(t, 2, Command{Err: &log}.Run(append(validArgs[:4:4], args...)))
		require.Contains(t, log.String(), strings.TrimLeft(args[0], "-"))
	}
}

// Guards against an environment variable that is ignored, overrides the command line or
// is accepted with an invalid value.
func TestEnvironmentSetsFlags(t *testing.T) {
	t.Setenv("TOUCANSTAIR_NAME", "from-environment")
	t.Setenv("TOUCANSTAIR_BEAT", "never")
	var log bytes.Buffer
	require.Equal(t, 2, Command{Err: &log}.Run(validArgs))
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

func doRequest(t *testing.T, method, url string) (int, string) {
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader("{}"))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

// Guards against a host without configuration that accepts queries or is reported as
// ready, and against a signal that does not stop the process.
func TestRunReportsServesAndStops(t *testing.T) {
	in, out := io.Pipe()
	signals := make(chan os.Signal, 2)
	code := make(chan int, 1)
	var log bytes.Buffer
	go func() {
		code <- Command{Out: out, Err: &log}.run(t.Context(), append(validArgs[:4:4], "--report", "--linger", "10ms", "--trace", "stdout"), signals)
		_ = out.Close()
	}()
	var listening addresses
	require.NoError(t, json.NewDecoder(in).Decode(&listening))
	go func() { _, _ = io.Copy(io.Discard, in) }()
	status, body := doRequest(t, http.MethodPost, "http://"+listening.Callers+"/v1/search")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, `"code":"config","outcome":"notrun"`)
	status, _ = doRequest(t, http.MethodGet, "http://"+listening.Ops+"/ready")
	require.Equal(t, http.StatusServiceUnavailable, status)
	status, body = doRequest(t, http.MethodGet, "http://"+listening.Ops+"/metrics")
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, `toucan_refusals_total{code="config",outcome="notrun"}`)
	signals <- syscall.SIGTERM
	require.Equal(t, 0, <-code)
	require.Contains(t, log.String(), `"phase":"lingering"`)
}

// Guards against a second signal that does not end the graceful shutdown, and against an
// error that does not say what was interrupted.
func TestSecondSignalInterrupts(t *testing.T) {
	core, logs := observer.New(zap.ErrorLevel)
	s := &Settings{Name: "a", Zone: "sierra", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", OpsAddress: "127.0.0.1:0", Grace: time.Hour}
	p, err := openProcess(t.Context(), s, zap.New(core), noop.NewTracerProvider())
	require.NoError(t, err)
	require.Equal(t, p.peerListener.Addr().String(), s.AdvertisedAddress)
	require.True(t, p.drainer.BeginQuery())
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGTERM
	signals <- syscall.SIGTERM
	require.ErrorContains(t, p.run(t.Context(), signals), "interrupted 1 queries and 0 legs")
	require.Equal(t, 1, logs.FilterMessage("shutdown interrupted").Len())
}
