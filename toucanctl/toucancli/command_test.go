package toucancli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanhead"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanctl/toucancli"
)

const zones = "zones:\n  - name: sierra\n  - name: costa\n"

const letters = `services:
  - name: letters
    shards: 1
    slots: 1
    connections: 1
    connect: 1ms
    routes: [{name: find, timeout: 1s}]
    replicas:
      - {id: l0, shard: 0, zone: sierra, address: "10.1.1.1:80"}
      - {id: l1, shard: 0, zone: costa, address: "10.1.1.2:80"}
`

type fakeStore struct {
	mu      sync.Mutex
	entries map[string]*toucanpb.Entry
	writes  uint64
	after   func(key string) error // replaces the reply of a write that took effect
	before  func(key string) error // fails a write without effect
}

func (s *fakeStore) Get(_ context.Context, key string) (*toucanpb.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key], nil
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, prev uint64, _ string) (uint64, error) {
	if s.before != nil {
		if err := s.before(key); err != nil {
			return 0, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].GetRevision() != prev {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_CONFLICT, key)
	}
	s.writes++
	s.entries[key] = &toucanpb.Entry{Key: key, Value: value, Revision: s.writes}
	if s.after != nil {
		return 0, s.after(key)
	}
	return s.writes, nil
}

func (s *fakeStore) Delete(_ context.Context, key string, prev uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].GetRevision() != prev {
		return toucanfault.NotRun(toucanpb.Code_CODE_CONFLICT, key)
	}
	delete(s.entries, key)
	return nil
}

func newStore() *fakeStore { return &fakeStore{entries: map[string]*toucanpb.Entry{}} }

// ctl runs a command on a store and returns its exit code and output.
func ctl(t *testing.T, s *fakeStore, args ...string) (int, string) {
	var out bytes.Buffer
	c := toucancli.Command{Open: func(string) (toucancli.Store, error) { return s, nil }, Out: &out, Err: &out}
	return c.Run(t.Context(), append(args, "--store", "127.0.0.1:1")), out.String()
}

func folder(t *testing.T) string {
	dir := t.TempDir()
	put(t, dir, "10-zones.yaml", zones)
	put(t, dir, "20-letters.yaml", letters)
	return dir
}

func put(t *testing.T, dir, name, text string) {
	require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
}

// Guards against a mistake that is published, or hidden behind another one.
func TestEveryProblemIsReportedAndNothingPublished(t *testing.T) {
	s, dir := newStore(), folder(t)
	put(t, dir, "30.yaml", "out: [lima]\nspeed: 3\nzones: [{name: x}, {name: x}]\n")
	for _, args := range [][]string{{"check", dir}, {"apply", dir}, {"diff", dir}, {"zone", "out", "costa", "--dir", dir}} {
		code, out := ctl(t, s, args...)
		require.Equal(t, toucancli.ExitFailed, code, out)
		for _, want := range []string{`30.yaml:1: unknown zone "lima"`, `30.yaml:2: unknown key "speed"`, `30.yaml:3: duplicate zone "x"`} {
			require.Contains(t, out, want, args)
		}
	}
	require.Empty(t, s.entries)
	_, out := ctl(t, s, "check", dir, "-o", "json")
	var got struct{ Problems []struct{ Line int } }
	require.NoError(t, json.Unmarshal([]byte(out), &got))
	require.Len(t, got.Problems, 4)
}

// Guards against wrong exit codes and reports of a publication.
func TestApply(t *testing.T) { synctest.Test(t, testApply) }

func testApply(t *testing.T) {
	s, dir := newStore(), folder(t)
	code, out := ctl(t, s, "apply", dir, "--author", "ana")
	require.Equal(t, toucancli.ExitDone, code, out)
	require.Contains(t, out, "done at revision 1")
	code, out = ctl(t, s, "apply", dir)
	require.Equal(t, toucancli.ExitDone, code)
	require.Contains(t, out, "no changes")
	put(t, dir, "30.yaml", "out: [costa]\n")
	code, out = ctl(t, s, "diff", dir)
	require.Equal(t, toucancli.ExitDone, code)
	require.Contains(t, out, "on revision 1\nfile added 30.yaml\n+ zones/costa/out: true\n")
	code, out = ctl(t, s, "apply", dir, "--on", "7")
	require.Equal(t, toucancli.ExitConflict, code)
	require.Contains(t, out, "revision 1 by ana")

	// Another operator publishes between the plan and the write.
	first := true
	s.before = func(key string) error {
		if key != toucanhead.Key || !first {
			return nil
		}
		first = false
		other := folder(t)
		put(t, other, "40.yaml", "# by ben\n")
		code, out := ctl(t, s, "apply", other, "--author", "ben")
		require.Equal(t, toucancli.ExitDone, code, out)
		return nil
	}
	code, out = ctl(t, s, "apply", dir)
	require.Equal(t, toucancli.ExitConflict, code)
	require.Contains(t, out, "lost the race to revision 2 by ben")
	s.before = nil

	s.after = func(string) error { return toucanfault.Unknown(toucanpb.Code_CODE_STORE, "reply lost") }
	code, out = ctl(t, s, "apply", dir, "-o", "json")
	require.Equal(t, toucancli.ExitDone, code, out)
	require.Contains(t, out, `"revision": 3`)
	s.before = s.after
	put(t, dir, "30.yaml", "out: [sierra]\n")
	code, out = ctl(t, s, "apply", dir)
	require.Equal(t, toucancli.ExitFailed, code, out)
	s.before = func(key string) error {
		if key == toucanhead.Key {
			return toucanfault.Unknown(toucanpb.Code_CODE_STORE, "silent")
		}
		return nil
	}
	s.after = nil
	code, out = ctl(t, s, "apply", dir)
	require.Equal(t, toucancli.ExitOutcomeUnknown, code, out)
}

// Guards against an urgent change that needs hand editing, loses comments,
// publishes unfinished work, or changes the folder though it lost.
func TestZoneOutAndIn(t *testing.T) {
	s, dir := newStore(), folder(t)
	code, out := ctl(t, s, "zone", "out", "costa", "--dir", dir)
	require.Equal(t, toucancli.ExitFailed, code)
	require.Contains(t, out, "10-zones.yaml, 20-letters.yaml too")
	code, _ = ctl(t, s, "apply", dir)
	require.Equal(t, toucancli.ExitDone, code)

	code, out = ctl(t, s, "zone", "out", "costa", "--dir", dir)
	require.Equal(t, toucancli.ExitDone, code, out)
	require.Contains(t, out, "+ zones/costa/out: true")
	text, err := os.ReadFile(filepath.Join(dir, "out.yaml"))
	require.NoError(t, err)
	require.Equal(t, "out: [costa]\n", string(text))
	code, out = ctl(t, s, "zone", "out", "costa", "--dir", dir)
	require.Equal(t, toucancli.ExitDone, code)
	require.Contains(t, out, "no changes")
	code, out = ctl(t, s, "zone", "out", "lima", "--dir", dir)
	require.Equal(t, toucancli.ExitFailed, code)
	require.Contains(t, out, `unknown zone "lima"`)

	put(t, dir, "zz.yaml", "# maintenance\nout: [costa] # until noon\n")
	code, _ = ctl(t, s, "apply", dir)
	require.Equal(t, toucancli.ExitDone, code)
	code, out = ctl(t, s, "zone", "in", "costa", "--dir", dir)
	require.Equal(t, toucancli.ExitDone, code, out)
	text, err = os.ReadFile(filepath.Join(dir, "zz.yaml"))
	require.NoError(t, err)
	require.Equal(t, "# maintenance\nout: [] # until noon\n", string(text))

	s.before = func(string) error { return toucanfault.NotRun(toucanpb.Code_CODE_STORE, "down") }
	code, _ = ctl(t, s, "zone", "out", "sierra", "--dir", dir)
	require.Equal(t, toucancli.ExitFailed, code)
	again, err := os.ReadFile(filepath.Join(dir, "zz.yaml"))
	require.NoError(t, err)
	require.Equal(t, text, again)
}

// Guards against a script that cannot tell the phases of a move apart.
func TestMoveStatus(t *testing.T) {
	s := newStore()
	for phase, want := range map[toucanpb.MoveState_Phase]int{
		toucanpb.MoveState_PHASE_RUNNING: toucancli.ExitInProgress, toucanpb.MoveState_PHASE_DONE: toucancli.ExitDone,
		toucanpb.MoveState_PHASE_BACK: toucancli.ExitRolledBack, toucanpb.MoveState_PHASE_LATE: toucancli.ExitFailed,
	} {
		value, err := proto.Marshal(&toucanpb.MoveState{Name: "m", Phase: phase, Stage: 2, Reason: "because"})
		require.NoError(t, err)
		s.entries["move/m"] = &toucanpb.Entry{Value: value}
		code, out := ctl(t, s, "move", "status", "m")
		require.Equal(t, want, code, out)
		require.Contains(t, out, "stage 2: because")
	}
	dir := folder(t)
	put(t, dir, "20-letters.yaml", strings.NewReplacer(`1.1:80"`, `1.1:80", version: v1`, `1.2:80"`, `1.2:80", version: v2`).Replace(letters))
	put(t, dir, "30.yaml", "moves: [{name: m, service: letters, from: v1, to: v2, deadline: 2999-01-01T00:00:00Z}]\n")
	code, out := ctl(t, s, "apply", dir)
	require.Equal(t, toucancli.ExitFailed, code)
	require.Contains(t, out, `the move name "m" was used before`)
	delete(s.entries, "move/m")
	code, _ = ctl(t, s, "apply", dir)
	require.Equal(t, toucancli.ExitDone, code)
	code, out = ctl(t, s, "move", "status", "m")
	require.Equal(t, toucancli.ExitInProgress, code)
	require.Contains(t, out, "m: waiting")
	code, _ = ctl(t, s, "move", "status", "other")
	require.Equal(t, toucancli.ExitFailed, code)
}

// Guards against a host that lags or is silent and goes unnoticed, and against
// settings of the environment that are ignored or that override flags.
func TestStatus(t *testing.T) {
	s, dir := newStore(), folder(t)
	put(t, dir, "out.yaml", "out: [costa]\n")
	for i := range 2 {
		put(t, dir, "30.yaml", fmt.Sprintf("# %d\n", i))
		code, _ := ctl(t, s, "apply", dir)
		require.Equal(t, toucancli.ExitDone, code)
	}
	var hosts []string
	for _, body := range []string{
		`{"host":"a/1","zone":"sierra","revision":2,"age":"1.5s","view":{"number":7,"members":["a/1"]},"lease":true}`,
		`{"host":"b/1","zone":"costa","revision":1,"age":900,"view":{"number":7,"members":[]},"lease":false}`,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/state" {
				http.NotFound(w, r)
				return
			}
			fmt.Fprint(w, body)
		}))
		defer server.Close()
		hosts = append(hosts, strings.TrimPrefix(server.URL, "http://"))
	}
	gone := httptest.NewServer(nil)
	gone.Close()
	code, out := ctl(t, s, "status", "--hosts", hosts[0])
	require.Equal(t, toucancli.ExitDone, code, out)
	t.Setenv("TOUCANCTL_HOSTS", strings.Join(append(hosts, strings.TrimPrefix(gone.URL, "http://")), ","))
	code, out = ctl(t, s, "status")
	require.Equal(t, toucancli.ExitFailed, code, out)
	require.Contains(t, out, "zones in: [sierra]\nzones out: [costa]\n")
	require.Contains(t, out, "lagging: [b/1]\nnot reached: ["+strings.TrimPrefix(gone.URL, "http://")+"]\n")
	require.Regexp(t, `a/1 +sierra +2 +"1.5s" +7 +true`, out)
	t.Setenv("TOUCANCTL_OUTPUT", "json")
	_, out = ctl(t, s, "status")
	require.True(t, json.Valid([]byte(out)), out)
	code, out = ctl(t, s, "status", "--hosts", hosts[0], "-o", "text")
	require.Equal(t, toucancli.ExitDone, code, out)
	require.Contains(t, out, "published: revision 2")
}

// Guards against a misspelt command that ends like a failed one.
func TestUsageErrorsHaveTheirOwnExitCode(t *testing.T) {
	for _, args := range [][]string{{"fly"}, {"apply"}, {"status", "x"}, {"check", "--speed"}, {"status", "-o", "xml"}, {"zone"}, {"apply", ".", "--on", "x"}} {
		code, out := ctl(t, newStore(), args...)
		require.Equal(t, toucancli.ExitUsage, code, "%v: %s", args, out)
	}
}
