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

const zonesYAML = "zones:\n  - name: sierra\n  - name: costa\n"

const lettersYAML = `services:
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
	mu           sync.Mutex
	entries      map[string]*toucanpb.Entry
	lastRevision uint64
	afterPut     func(key string) error // replaces the result of a Put that took effect
	beforePut    func(key string) error // an error makes Put fail without effect
}

func (s *fakeStore) Get(_ context.Context, key string) (*toucanpb.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key], nil
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, prev uint64, _ string) (uint64, error) {
	if s.beforePut != nil {
		if err := s.beforePut(key); err != nil {
			return 0, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].GetRevision() != prev {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_CONFLICT, key)
	}
	s.lastRevision++
	s.entries[key] = &toucanpb.Entry{Key: key, Value: value, Revision: s.lastRevision}
	if s.afterPut != nil {
		return 0, s.afterPut(key)
	}
	return s.lastRevision, nil
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

// runCommand runs toucanctl on s and returns its exit code and combined output.
func runCommand(t *testing.T, s *fakeStore, args ...string) (int, string) {
	var out bytes.Buffer
	c := toucancli.Command{Open: func(string) (toucancli.Store, error) { return s, nil }, Out: &out, Err: &out}
	return c.Run(t.Context(), append(args, "--store", "127.0.0.1:1")), out.String()
}

func newFolder(t *testing.T) string {
	dir := t.TempDir()
	writeFile(t, dir, "10-zones.yaml", zonesYAML)
	writeFile(t, dir, "20-letters.yaml", lettersYAML)
	return dir
}

func writeFile(t *testing.T, dir, name, text string) {
	require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
}

// Guards against publishing a folder with problems, and against reporting only
// the first of several problems.
func TestEveryProblemIsReportedAndNothingPublished(t *testing.T) {
	s, dir := newStore(), newFolder(t)
	writeFile(t, dir, "30.yaml", "out: [lima]\nspeed: 3\nzones: [{name: x}, {name: x}]\n")
	for _, args := range [][]string{{"check", dir}, {"apply", dir}, {"diff", dir}, {"zone", "out", "costa", "--dir", dir}} {
		code, out := runCommand(t, s, args...)
		require.Equal(t, toucancli.ExitFailed, code, out)
		for _, want := range []string{`30.yaml:1: unknown zone "lima"`, `30.yaml:2: unknown key "speed"`, `30.yaml:3: duplicate zone "x"`} {
			require.Contains(t, out, want, args)
		}
	}
	require.Empty(t, s.entries)
	_, out := runCommand(t, s, "check", dir, "-o", "json")
	var got struct{ Problems []struct{ Line int } }
	require.NoError(t, json.Unmarshal([]byte(out), &got))
	require.Len(t, got.Problems, 4)
}

// Guards against wrong exit codes and output of apply and diff, including a
// concurrent publication, a lost reply and a failing store.
func TestApply(t *testing.T) { synctest.Test(t, testApply) }

func testApply(t *testing.T) {
	s, dir := newStore(), newFolder(t)
	code, out := runCommand(t, s, "apply", dir, "--author", "ana")
	require.Equal(t, toucancli.ExitDone, code, out)
	require.Contains(t, out, "done at revision 1")
	code, out = runCommand(t, s, "apply", dir)
	require.Equal(t, toucancli.ExitDone, code)
	require.Contains(t, out, "no changes")
	writeFile(t, dir, "30.yaml", "out: [costa]\n")
	code, out = runCommand(t, s, "diff", dir)
	require.Equal(t, toucancli.ExitDone, code)
	require.Contains(t, out, "on revision 1\nfile added 30.yaml\n+ zones/costa/out: true\n")
	code, out = runCommand(t, s, "apply", dir, "--on", "7")
	require.Equal(t, toucancli.ExitConflict, code)
	require.Contains(t, out, "revision 1 by ana")

	// Another operator publishes after the plan was made and before it is written.
	first := true
	s.beforePut = func(key string) error {
		if key != toucanhead.Key || !first {
			return nil
		}
		first = false
		other := newFolder(t)
		writeFile(t, other, "40.yaml", "# by ben\n")
		code, out := runCommand(t, s, "apply", other, "--author", "ben")
		require.Equal(t, toucancli.ExitDone, code, out)
		return nil
	}
	code, out = runCommand(t, s, "apply", dir)
	require.Equal(t, toucancli.ExitConflict, code)
	require.Contains(t, out, "lost the race to revision 2 by ben")
	s.beforePut = nil

	s.afterPut = func(string) error { return toucanfault.Unknown(toucanpb.Code_CODE_STORE, "reply lost") }
	code, out = runCommand(t, s, "apply", dir, "-o", "json")
	require.Equal(t, toucancli.ExitDone, code, out)
	require.Contains(t, out, `"revision": 3`)
	s.beforePut = s.afterPut
	writeFile(t, dir, "30.yaml", "out: [sierra]\n")
	code, out = runCommand(t, s, "apply", dir)
	require.Equal(t, toucancli.ExitFailed, code, out)
	s.beforePut = func(key string) error {
		if key == toucanhead.Key {
			return toucanfault.Unknown(toucanpb.Code_CODE_STORE, "silent")
		}
		return nil
	}
	s.afterPut = nil
	code, out = runCommand(t, s, "apply", dir)
	require.Equal(t, toucancli.ExitOutcomeUnknown, code, out)
}

// Guards against zone out and zone in that publish other edits in the folder,
// lose comments, or write to the folder although the publication failed.
func TestZoneOutAndIn(t *testing.T) {
	s, dir := newStore(), newFolder(t)
	code, out := runCommand(t, s, "zone", "out", "costa", "--dir", dir)
	require.Equal(t, toucancli.ExitFailed, code)
	require.Contains(t, out, "10-zones.yaml, 20-letters.yaml too")
	code, _ = runCommand(t, s, "apply", dir)
	require.Equal(t, toucancli.ExitDone, code)

	code, out = runCommand(t, s, "zone", "out", "costa", "--dir", dir)
	require.Equal(t, toucancli.ExitDone, code, out)
	require.Contains(t, out, "+ zones/costa/out: true")
	text, err := os.ReadFile(filepath.Join(dir, "out.yaml"))
	require.NoError(t, err)
	require.Equal(t, "out: [costa]\n", string(text))
	code, out = runCommand(t, s, "zone", "out", "costa", "--dir", dir)
	require.Equal(t, toucancli.ExitDone, code)
	require.Contains(t, out, "no changes")
	code, out = runCommand(t, s, "zone", "out", "lima", "--dir", dir)
	require.Equal(t, toucancli.ExitFailed, code)
	require.Contains(t, out, `unknown zone "lima"`)

	writeFile(t, dir, "zz.yaml", "# maintenance\nout: [costa] # until noon\n")
	code, _ = runCommand(t, s, "apply", dir)
	require.Equal(t, toucancli.ExitDone, code)
	code, out = runCommand(t, s, "zone", "in", "costa", "--dir", dir)
	require.Equal(t, toucancli.ExitDone, code, out)
	text, err = os.ReadFile(filepath.Join(dir, "zz.yaml"))
	require.NoError(t, err)
	require.Equal(t, "# maintenance\nout: [] # until noon\n", string(text))

	s.beforePut = func(string) error { return toucanfault.NotRun(toucanpb.Code_CODE_STORE, "down") }
	code, _ = runCommand(t, s, "zone", "out", "sierra", "--dir", dir)
	require.Equal(t, toucancli.ExitFailed, code)
	again, err := os.ReadFile(filepath.Join(dir, "zz.yaml"))
	require.NoError(t, err)
	require.Equal(t, text, again)
}

// Guards against phases of a move that share an exit code, and against reusing
// the name of an earlier move.
func TestMoveStatus(t *testing.T) {
	s := newStore()
	for phase, want := range map[toucanpb.MoveState_Phase]int{
		toucanpb.MoveState_PHASE_RUNNING: toucancli.ExitInProgress, toucanpb.MoveState_PHASE_DONE: toucancli.ExitDone,
		toucanpb.MoveState_PHASE_BACK: toucancli.ExitRolledBack, toucanpb.MoveState_PHASE_LATE: toucancli.ExitFailed,
	} {
		value, err := proto.Marshal(&toucanpb.MoveState{Name: "m", Phase: phase, Stage: 2, Reason: "because"})
		require.NoError(t, err)
		s.entries["move/m"] = &toucanpb.Entry{Value: value}
		code, out := runCommand(t, s, "move", "status", "m")
		require.Equal(t, want, code, out)
		require.Contains(t, out, "stage 2: because")
	}
	dir := newFolder(t)
	writeFile(t, dir, "20-letters.yaml", strings.NewReplacer(`1.1:80"`, `1.1:80", version: v1`, `1.2:80"`, `1.2:80", version: v2`).Replace(lettersYAML))
	writeFile(t, dir, "30.yaml", "moves: [{name: m, service: letters, from: v1, to: v2, deadline: 2999-01-01T00:00:00Z}]\n")
	code, out := runCommand(t, s, "apply", dir)
	require.Equal(t, toucancli.ExitFailed, code)
	require.Contains(t, out, `the move name "m" was used before`)
	delete(s.entries, "move/m")
	code, _ = runCommand(t, s, "apply", dir)
	require.Equal(t, toucancli.ExitDone, code)
	code, out = runCommand(t, s, "move", "status", "m")
	require.Equal(t, toucancli.ExitInProgress, code)
	require.Contains(t, out, "m: waiting")
	code, _ = runCommand(t, s, "move", "status", "other")
	require.Equal(t, toucancli.ExitFailed, code)
}

// Guards against a status that misses a lagging or unreachable host, and against
// environment variables that are ignored or override flags.
func TestStatus(t *testing.T) {
	s, dir := newStore(), newFolder(t)
	writeFile(t, dir, "out.yaml", "out: [costa]\n")
	for i := range 2 {
		writeFile(t, dir, "30.yaml", fmt.Sprintf("# %d\n", i))
		code, _ := runCommand(t, s, "apply", dir)
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
	stopped := httptest.NewServer(nil)
	stopped.Close()
	code, out := runCommand(t, s, "status", "--hosts", hosts[0])
	require.Equal(t, toucancli.ExitDone, code, out)
	t.Setenv("TOUCANCTL_HOSTS", strings.Join(append(hosts, strings.TrimPrefix(stopped.URL, "http://")), ","))
	code, out = runCommand(t, s, "status")
	require.Equal(t, toucancli.ExitFailed, code, out)
	require.Contains(t, out, "zones in: [sierra]\nzones out: [costa]\n")
	require.Contains(t, out, "lagging: [b/1]\nnot reached: ["+strings.TrimPrefix(stopped.URL, "http://")+"]\n")
	require.Regexp(t, `a/1 +sierra +2 +"1.5s" +7 +true`, out)
	t.Setenv("TOUCANCTL_OUTPUT", "json")
	_, out = runCommand(t, s, "status")
	require.True(t, json.Valid([]byte(out)), out)
	code, out = runCommand(t, s, "status", "--hosts", hosts[0], "-o", "text")
	require.Equal(t, toucancli.ExitDone, code, out)
	require.Contains(t, out, "published: revision 2")
}

// Guards against usage errors with the exit code of a failed command.
func TestUsageErrorsHaveTheirOwnExitCode(t *testing.T) {
	for _, args := range [][]string{{"fly"}, {"apply"}, {"status", "x"}, {"check", "--speed"}, {"status", "-o", "xml"}, {"zone"}, {"apply", ".", "--on", "x"}} {
		code, out := runCommand(t, newStore(), args...)
		require.Equal(t, toucancli.ExitUsage, code, "%v: %s", args, out)
	}
}
