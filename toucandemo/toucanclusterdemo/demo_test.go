package toucanclusterdemo_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	"toucanstair.example/core/toucandeploy"
	"toucanstair.example/core/toucanlaunch"
	"toucanstair.example/toucandemo/rules"
)

// Guards against configuration templates that no longer match the services and
// zones of the demonstration's plan.
func TestTemplatesMatchThePlan(t *testing.T) {
	plan, err := toucandeploy.NamedPlan("demo")
	require.NoError(t, err)
	plan.Dir, plan.Rules = t.TempDir(), rules.Files
	d := toucandeploy.New(plan, &toucanlaunch.Launcher{}, nil)
	addresses := map[string]string{}
	for i, s := range d.Values().Services {
		for _, r := range s.Replicas {
			addresses[r.ID] = "127.0.0.1:" + string(rune('1'+i)) + "0"
		}
	}
	d.Targets = []*toucandeploy.TargetProcess{{Replicas: addresses}}
	for _, z := range plan.Zones {
		d.Hosts = append(d.Hosts, &toucandeploy.Host{Zone: z.Name, Peers: "127.0.0.1:7"})
	}
	require.NoError(t, d.WriteRules())
	var found struct {
		Zones []struct {
			Name, Region string
			Seeds        []string
		}
		Services []struct {
			Name                       string
			Shards, Slots, Connections int
			Replicas                   []struct{ ID, Address, Zone string }
		}
	}
	names, err := filepath.Glob(filepath.Join(plan.Dir, "*.yaml"))
	require.NoError(t, err)
	services := map[string]int{}
	for _, name := range names {
		b, err := os.ReadFile(name)
		require.NoError(t, err)
		require.NoError(t, yaml.Unmarshal(b, &found))
		for _, s := range found.Services {
			for _, r := range s.Replicas {
				require.Equal(t, addresses[r.ID], r.Address)
			}
			services[s.Name] = len(s.Replicas)
			require.NotEmpty(t, s.Replicas)
		}
	}
	require.Equal(t, map[string]int{"pairing": 12, "coordinator": 8}, services)
	require.Len(t, found.Zones, len(plan.Zones))
	for i, z := range found.Zones {
		require.Equal(t, string(plan.Zones[i].Name), z.Name)
		require.Equal(t, plan.Zones[i].Region, z.Region)
		require.Equal(t, []string{"127.0.0.1:7"}, z.Seeds)
	}
}
