package toucanops_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucancatalog"
	"toucanstair.example/toucanstair/toucanops"
)

type fake struct {
	catalog  *toucancatalog.Catalog
	lease    bool
	stopping bool
}

func (f *fake) Catalog() *toucancatalog.Catalog { return f.catalog }
func (f *fake) Self() *toucanpb.Member          { return &toucanpb.Member{Id: "a/1"} }
func (f *fake) LeaseHeld() bool                 { return f.lease }
func (f *fake) Stopping() bool                  { return f.stopping }
func (f *fake) Phase() string                   { return "serving" }
func (f *fake) Queries() int64                  { return 3 }
func (f *fake) Legs() int64                     { return 0 }
func (f *fake) State() any                      { return []string{"a/1"} }

func get(t *testing.T, s *toucanops.Server, path string) (int, map[string]any) {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	out := map[string]any{}
	if w.Header().Get("Content-Type") == "application/json" {
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &out))
	}
	return w.Code, out
}

// Guards against a load balancer sending queries to a host that refuses them,
// and against a host that looks dead while it only is not ready.
func TestReadyNamesEachReason(t *testing.T) {
	rules := &toucanpb.Rules{Revision: 5, Zones: []*toucanpb.Zone{{Name: "sierra"}, {Name: "costa", Out: true}}}
	f := &fake{stopping: true}
	s := &toucanops.Server{Zone: "costa", CatalogSource: f, Membership: f, Drainer: f}
	_, page := get(t, s, "/ready")
	require.Equal(t, []any{"no configuration is in effect", "the host holds no lease", "the host is stopping"}, page["why"])
	*f = fake{catalog: toucancatalog.New(rules), lease: true}
	code, page := get(t, s, "/ready")
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Equal(t, []any{"zone costa is out of service"}, page["why"])
	code, _ = get(t, s, "/health")
	require.Equal(t, http.StatusOK, code)
	s.Zone = "sierra"
	code, page = get(t, s, "/ready")
	require.Equal(t, http.StatusOK, code)
	require.Equal(t, true, page["ready"])
	code, _ = get(t, &toucanops.Server{}, "/ready")
	require.Equal(t, http.StatusServiceUnavailable, code)
}

// Guards against a state page without the parts of other packages, and against
// profiles served without the flag.
func TestStateHasAllParts(t *testing.T) {
	f := &fake{catalog: toucancatalog.New(&toucanpb.Rules{Revision: 5}), lease: true}
	s := &toucanops.Server{Zone: "sierra", CatalogSource: f, Membership: f, Drainer: f, ConfigurationAge: func() time.Duration { return 90 * time.Second }}
	s.View = f
	_, page := get(t, s, "/state")
	require.Equal(t, map[string]any{
		"host": "a/1", "zone": "sierra", "revision": 5.0, "age": 90.0, "lease": true, "phase": "serving",
		"queries": 3.0, "legs": 0.0, "why": []any{}, "view": []any{"a/1"},
		"configuration": nil, "moves": nil, "inventory": nil,
	}, page)
	code, _ := get(t, s, "/debug/pprof/")
	require.Equal(t, http.StatusNotFound, code)
	s.Pprof = true
	code, _ = get(t, s, "/debug/pprof/")
	require.Equal(t, http.StatusOK, code)
	code, _ = get(t, s, "/metrics")
	require.Equal(t, http.StatusOK, code)
}
