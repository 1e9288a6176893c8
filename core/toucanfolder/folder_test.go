package toucanfolder_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanfolder"
	"toucanstair.example/core/toucanpb"
)

const zones = `zones:
  - {name: sierra, region: north, seeds: ["10.1.0.1:7001"]}
  - {name: costa, region: south}
`

const letters = `services:
  - name: letters
    shards: 2
    slots: 3
    connections: 100
    connect: 1ms
    routes:
      - {name: find, timeout: 500ms}
      - {name: send, once: true, timeout: 1s}
    replicas:
      - {id: l0, shard: 0, zone: sierra, address: "10.1.1.1:80", version: v1}
      - {id: l1, shard: 0, zone: costa, address: "10.2.1.1:80", version: v2}
`

const move = `moves:
  - {name: letters-v2, service: letters, from: v1, to: v2, deadline: 2026-12-31T12:00:00Z}
`

func files(pairs ...string) map[string][]byte {
	out := map[string][]byte{}
	for i := 0; i < len(pairs); i += 2 {
		out[pairs[i]] = []byte(pairs[i+1])
	}
	return out
}

func ExampleFolder_Rules() {
	folder := toucanfolder.New(map[string][]byte{
		"10-zones.yaml":   []byte(zones),
		"20-letters.yaml": []byte(letters),
		"90-out.yaml":     []byte("out: [costa]\n"),
	}, nil)
	rules, err := folder.Rules(7)
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, z := range rules.GetZones() {
		fmt.Println(z.GetName(), z.GetOut())
	}
	_, err = toucanfolder.New(map[string][]byte{"a.yaml": []byte("out: [paris]\nzone: []\n")}, nil).Rules(8)
	fmt.Println(toucanfault.As(err).Detail)
	// Output:
	// sierra false
	// costa true
	// a.yaml:1: unknown zone "paris" in out
	// a.yaml:2: unknown key "zone" of file
}

// Guards against a report that stops at the first problem or has a wrong position.
func TestAllProblemsAreReportedWithPosition(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"10-zones.yaml":   zones + "  - name: oriente\n  - name: sierra\n",
		"20-letters.yaml": letters + "      - {id: l2, shard: 2, zone: sierra, address: \"10.1.1.2:80\"}\n      - {id: l3, shard: 1, zone: lima, address: \"host:80\"}\n",
		"30-move.yaml":    strings.Replace(move, "}", ", start: 1.5, speed: 3}", 1),
		"notes.txt":       "not a part of the configuration",
	} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	f, err := toucanfolder.Open(dir)
	require.NoError(t, err)
	var got []string
	for _, p := range f.Problems() {
		got = append(got, p.String())
	}
	require.Equal(t, []string{
		`10-zones.yaml:4: zone "oriente" is in service and holds no replica`,
		`10-zones.yaml:5: duplicate zone "sierra", first on line 2`,
		`20-letters.yaml:13: shard "2" of replica "l2" is outside 0 to 1`,
		`20-letters.yaml:14: unknown zone "lima" of replica "l3"`,
		`20-letters.yaml:14: bad address "host:80": an IP address and a port are needed`,
		`30-move.yaml:2: unknown key "speed" of move`,
		`30-move.yaml:2: start "1.5" is not a share above 0 and at most 1`,
	}, got)
}

// Guards against accepting an invalid value or reference.
func TestInvalidValuesAreRefused(t *testing.T) {
	valid := []string{"10.yaml", zones, "20.yaml", letters, "30.yaml", move}
	_, err := toucanfolder.New(files(valid...), nil).Rules(1)
	require.NoError(t, err)
	for _, c := range []struct{ old, new, want string }{
		{"slots: 3", "slots: 0", `20.yaml:4: slots "0"`},
		{"connections: 100", "connections: 2", `20.yaml:5: connections "2"`},
		{"connect: 1ms", "connect: 1", `20.yaml:6: connect "1"`},
		{"timeout: 500ms", "timeout: 3s", `20.yaml:8: timeout "3s"`},
		{"once: true", "once: maybe", `20.yaml:9: once "maybe"`},
		{"shard: 0, zone: sierra", "shard: -1, zone: sierra", `20.yaml:11: shard "-1"`},
		{"10.2.1.1:80", "10.1.1.1:80", `20.yaml:12: address 10.1.1.1:80 of replica "l1" is already used by "l0" at 20.yaml:11`},
		{"10.1.0.1:7001", "10.1.0.1:0", `10.yaml:2: bad address`},
		{"service: letters", "service: other", `30.yaml:2: unknown service "other"`},
		{"to: v2", "to: v3", `30.yaml:2: no replica of service "letters" has version "v3" on shard 0`},
		{"to: v2", "to: v1", `30.yaml:2: move "letters-v2" is from and to version "v1"`},
		{"2026-12-31T12:00:00Z", "tomorrow", `30.yaml:2: deadline "tomorrow"`},
		{"to: v2", "to: v2, steps: [0.5]", `30.yaml:2: the last step`},
		{"to: v2", "to: v2, steps: [0.5, 0.4, 1]", `30.yaml:2: step 0.4`},
		{"to: v2", "to: v2, bound: .nan", `30.yaml:2: bound ".nan"`},
		{"name: costa", "name: a/b", `10.yaml:3: bad name "a/b"`},
		{"region: south", "region: [", `10.yaml:3: did not find expected node content`},
		{"region: south", "region: ~", `10.yaml:3: region has no value`},
		{"zones:", "---\n{}\n---\nzones:", `10.yaml:3: second document`},
		{"name: costa", "name: &x costa, region: *x", `10.yaml:3: region: aliases`},
	} {
		var pairs []string
		for _, s := range valid {
			pairs = append(pairs, strings.Replace(s, c.old, c.new, 1))
		}
		_, err := toucanfolder.New(files(pairs...), nil).Rules(1)
		require.ErrorContains(t, err, c.want, c.new)
		require.Equal(t, toucanpb.Code_CODE_INVALID, toucanfault.As(err).Code)
	}
}

// Guards against a host that refuses a published revision because a rollout's
// deadline has passed since, and against such a deadline blocking a change.
func TestPastDeadlineIsRefusedOnlyWhenPublishing(t *testing.T) {
	f := toucanfolder.New(files("10.yaml", zones, "20.yaml", letters, "30.yaml", move), nil)
	published, err := f.Rules(3)
	require.NoError(t, err)
	after := time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)
	_, err = f.RulesToPublish(after, nil)
	require.ErrorContains(t, err, "30.yaml:2: deadline 2026-12-31T12:00:00Z of move \"letters-v2\" is past")
	_, err = f.RulesToPublish(after, published)
	require.NoError(t, err)
	_, err = f.RulesToPublish(after.AddDate(-1, 0, 0), nil)
	require.NoError(t, err)
}

// Guards against files of unlimited number or size.
func TestLimits(t *testing.T) {
	many := files("10.yaml", zones, "20.yaml", letters)
	_, err := toucanfolder.New(many, nil).Rules(1)
	require.NoError(t, err)
	many["20.yaml"] = append(many["20.yaml"], strings.Repeat("#", toucanfolder.MaxFileBytes)...)
	_, err = toucanfolder.New(many, nil).Rules(1)
	require.ErrorContains(t, err, "20.yaml:1: file exceeds 65536 bytes")
	many = files("10.yaml", zones, "20.yaml", letters)
	for i := range 999 {
		many[fmt.Sprintf("z%03d.yaml", i)] = nil
	}
	_, err = toucanfolder.New(many, nil).Rules(1)
	require.ErrorContains(t, err, "z998.yaml:1: 1001 files, the limit is 1000")
}

// Guards against merging that differs from the documented rules, and against a
// merge that modifies parsed files that a later folder reuses.
func TestLaterFilesOverride(t *testing.T) {
	early := files("10.yaml", zones, "20.yaml", letters, "25.yaml", "out: [sierra]\n")
	first := toucanfolder.New(early, nil)
	before, err := first.Rules(1)
	require.NoError(t, err)
	late := files("10.yaml", zones, "20.yaml", letters, "25.yaml", "out: [sierra]\n", "30.yaml", `out: [costa]
services:
  - name: letters
    age: 4
    replicas:
      - {id: l0, version: v9}
      - {id: l9, shard: 1, zone: costa, address: "10.2.1.9:80"}
`)
	rules, err := toucanfolder.New(late, first).Rules(2)
	require.NoError(t, err)
	require.False(t, rules.GetZones()[0].GetOut())
	require.True(t, rules.GetZones()[1].GetOut())
	s := rules.GetServices()[0]
	require.Equal(t, uint64(4), s.GetAge())
	require.Equal(t, uint32(3), s.GetSlots())
	require.Len(t, s.GetReplicas(), 3)
	require.Equal(t, "v9", s.GetReplicas()[0].GetVersion())
	require.Equal(t, "10.1.1.1:80", s.GetReplicas()[0].GetAddress())
	again, err := toucanfolder.New(early, first).Rules(1)
	require.NoError(t, err)
	require.Equal(t, before.String(), again.String())
}

// Guards against reused parsed files giving a different result than fresh ones.
func TestReuseEqualsParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := []string{zones, letters, move, "out: [costa]\n", "out: [nowhere]\n", "x: 1\n", "", "zones: [{name: costa, region: west}]\n"}
		gen := rapid.MapOfN(rapid.SampledFrom([]string{"a.yaml", "b.yaml", "c.yaml", "d.yml"}), rapid.SampledFrom(texts), 0, 4)
		var folder *toucanfolder.Folder
		for range 4 {
			set := map[string][]byte{}
			for n, s := range gen.Draw(t, "files") {
				set[n] = []byte(s)
			}
			folder = toucanfolder.New(set, folder)
			fresh := toucanfolder.New(set, nil)
			require.Equal(t, fresh.Problems(), folder.Problems())
		}
	})
}

// Guards against input that makes the parser panic, or report a line that the file
// does not have.
func FuzzFolder(f *testing.F) {
	for _, s := range []string{zones, letters, move, "out: [costa]", "{}", "a: &a [*a]", "zones: [{name: x, <<: {}}]", "- 1", "zones:\n- ? [a]\n", "\x00", "out: !!binary x", "[[[[[["} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		folder := toucanfolder.New(map[string][]byte{"10.yaml": []byte(zones), "20.yaml": []byte(letters), "30.yaml": data}, nil)
		rules, err := folder.Rules(1)
		if err == nil {
			require.NotNil(t, rules)
			return
		}
		// Problems may also be in the other files, which have up to 12 lines.
		lines := strings.Count(strings.ReplaceAll(string(data), "\r", "\n"), "\n") + 13
		for _, p := range folder.Problems() {
			require.LessOrEqual(t, p.Line, lines)
			require.Positive(t, p.Line)
		}
	})
}

func generateFiles(replicas int) map[string][]byte {
	out := files("00.yaml", zones)
	const replicasPerFile = 500
	for i := 0; i < replicas; i += replicasPerFile {
		var b strings.Builder
		b.WriteString("services:\n  - name: letters\n")
		if i == 0 {
			b.WriteString("    shards: 5000\n    slots: 3\n    connections: 100\n    connect: 1ms\n    routes:\n      - {name: find, timeout: 500ms}\n")
		}
		b.WriteString("    replicas:\n")
		for j := i; j < min(i+replicasPerFile, replicas); j++ {
			zone := "sierra"
			if j%2 == 1 {
				zone = "costa"
			}
			fmt.Fprintf(&b, "      - {id: l%d, shard: %d, zone: %s, address: \"10.1.%d.%d:80\", version: v1}\n", j, j/4, zone, j/250, j%250+1)
		}
		out[fmt.Sprintf("20-%03d.yaml", i/replicasPerFile)] = []byte(b.String())
	}
	return out
}

func BenchmarkFolder(b *testing.B) {
	// At the design size a zone has 2,342 replicas.
	for _, n := range []int{2342, 20000} {
		set := generateFiles(n)
		b.Run(fmt.Sprintf("parse/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, err := toucanfolder.New(set, nil).Rules(1)
				require.NoError(b, err)
			}
		})
		b.Run(fmt.Sprintf("change/%d", n), func(b *testing.B) {
			prior := toucanfolder.New(set, nil)
			changed := generateFiles(n)
			changed["00.yaml"] = append(changed["00.yaml"], "out: [costa]\n"...)
			b.ReportAllocs()
			for b.Loop() {
				_, err := toucanfolder.New(changed, prior).Rules(2)
				require.NoError(b, err)
			}
		})
	}
}
