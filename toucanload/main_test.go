package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanstair.example/toucanload/toucanreport"
)

// Guards against a scenario file that overrides flags, and against extra load
// that includes legs counted before the run.
func TestFlagsOverrideScenario(t *testing.T) {
	sent := 1000
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/metrics":
			fmt.Fprintf(w, "toucan_legs_needed_total{service=\"rescue\"} %d\ntoucan_legs_sent_total %d\n", sent, sent)
			sent += 100
		case "/admin/ledger":
			fmt.Fprint(w, `{"now":"1s","replicas":{"a":{"slots":2,"peak":3}}}`)
		default:
			fmt.Fprint(w, `{"coverage":{"asked":2,"answered":2}}`)
		}
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	file := filepath.Join(t.TempDir(), "scenario.yaml")
	require.NoError(t, os.WriteFile(file, []byte(
		"callers: ["+address+"]\nservice: rescue\nroute: find\nqueries: [radio]\nrate: 1\nduration: 1h\ntimeout: 1s\n"), 0o600))
	c := command()
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetArgs([]string{"--scenario", file, "--rate", "100", "--duration", "300ms", "-o", "json", "--ops", address, "--ledgers", address})
	require.NoError(t, c.Execute())
	var s toucanreport.Summary
	require.NoError(t, json.Unmarshal(out.Bytes(), &s))
	require.InDelta(t, 30, s.Sent, 25)
	require.InDelta(t, 1, s.Coverage.Full, 1e-9)
	require.Equal(t, &toucanreport.ExtraLegs{Needed: 100, Sent: 100}, s.ExtraLegs)
	require.Equal(t, 3, s.Targets[0].MaxInFlight)
}
