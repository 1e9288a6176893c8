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

// fakeHost implements all interfaces that toucanops.Server uses.
type fakeHost struct {
	catalog  *toucancatalog.Catalog
	lease    bool
	stopping bool
}

func (f *fakeHost) Catalog() *toucancatalog.Catalog { return f.catalog }
func (f *fakeHost) Self() *toucanpb.Member          { return &toucanpb.Member{Id: "a/1"} }
func (f *fakeHost) LeaseHeld() bool                 { return f.lease }
func (f *fakeHost) Stopping() bool                  { return f.stopping }
func (f *fakeHost) Phase() string                   { return "serving" }
func (f *fakeHost) Queries() int64                  { return 3 }
func (f *fakeHost) Legs() int64                     { return 0 }
func (f *fakeHost) State() any                      { return []string{"a/1"} }

func get(t *testing.T, s *toucanops.Server, path string) (int, map[string]any) {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	out := map[string]any{}
	if w.Header().Get("Content-Type") == "application/json" {
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &out))
	}
	return w.Code, out
}

// Guards against a host that is reported as ready although it refuses queries, which
// makes load balancers send queries to it, and against a host that is reported as
// unhealthy while it is only not ready.
func TestReadyNamesEachReason(t *testing.T) {
	rules := &toucanpb.Rules{Revision: 5, Zones: []*toucanpb.Zone{{Name: "sierra"}, {Name: "costa", Out: true}}}
	f := &fakeHost{stopping: true}
	s := &toucanops.Server{Zone: "costa", CatalogSource: f, Membership: f, Drainer: f}
	_, page := get(t, s, "/ready")
	require.Equal(t, []any{"no configuration is in effect", "the host holds no lease", "the host is stopping"}, page["why"])
	*f = fakeHost{catalog: toucancatalog.New(rules), lease: true}
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

// Guards against a state page that lacks a field or a provider's value, and against
// profiles that are served although --pprof is not set.
func TestStatePageHasAllFields(t *testing.T) {
	f := &fakeHost{catalog: toucancatalog.New(&toucanpb.Rules{Revision: 5}), lease: true}
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
