package toucandeploy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanlaunch"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanzone"
)

// Guards against shards with all replicas in one zone, whose loss would lower
// coverage, and against invalid built-in templates.
func TestNamedPlansSpreadReplicas(t *testing.T) {
	for name, want := range map[string]int{"demo": 20, "plumas": 108, "kunene": 110} {
		p, err := NamedPlan(name)
		require.NoError(t, err)
		zones := map[string]map[toucanzone.Name]bool{}
		all := p.replicas()
		require.Len(t, all, want, name)
		for _, r := range all {
			shard := r.Service + "/" + string(rune(r.Shard))
			if zones[shard] == nil {
				zones[shard] = map[toucanzone.Name]bool{}
			}
			zones[shard][r.Zone] = true
		}
		for shard, z := range zones {
			require.GreaterOrEqual(t, len(z), 2, shard)
		}
		p.Dir = t.TempDir()
		d := New(p, &toucanlaunch.Launcher{}, nil)
		require.NoError(t, d.WriteRules())
		b, err := os.ReadFile(filepath.Join(p.Dir, "20-services.yaml"))
		require.NoError(t, err)
		require.Less(t, len(b), 64<<10, "the store takes files up to 64 KB")
		var file struct{ Services []map[string]any }
		require.NoError(t, yaml.Unmarshal(b, &file))
		require.Len(t, file.Services, len(p.Services))
	}
	_, err := NamedPlan("other")
	require.Error(t, err)
}

// Guards against metrics whose labels contain spaces or braces being left out of
// the sums, from which toucanload computes the share of hedges and retries.
func TestAddMetrics(t *testing.T) {
	sums := map[string]float64{}
	AddMetrics(sums, []byte("# HELP a b\na{x=\"1 2\"} 3\na{x=\"}\"} 4\nb 1.5e3 1700000000\n\nc\n"))
	require.Equal(t, map[string]float64{"a": 7, "b": 1500}, sums)
}

// Guards against a refusal that loses its code or outcome, and against a
// malformed response that counts as "not run".
func TestRefusals(t *testing.T) {
	body := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, body, http.StatusServiceUnavailable)
	}))
	defer server.Close()
	for b, want := range map[string]toucanfault.Error{
		`{"error":{"code":"out","outcome":"notrun"}}`: {Code: toucanpb.Code_CODE_OUT, Outcome: toucanpb.Outcome_OUTCOME_NOTRUN},
		`{"error":`: {Code: toucanpb.Code_CODE_INVALID, Outcome: toucanpb.Outcome_OUTCOME_UNKNOWN},
	} {
		body = b
		_, err := Search(context.Background(), http.DefaultClient, server.Listener.Addr().String(), &toucanpb.Query{})
		f := toucanfault.As(err)
		require.NotNil(t, f)
		require.Equal(t, want.Code, f.Code)
		require.Equal(t, want.Outcome, f.Outcome)
	}
}
