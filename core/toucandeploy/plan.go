package toucandeploy

import (
	"fmt"
	"io/fs"
	"time"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/core/toucanspec"
	"toucanstair.example/core/toucanzone"
)

// Plan describes what a deployment consists of.
type Plan struct {
	Bin       string // directory of the programs
	Dir       string // configuration folder that is written
	Seed      uint64 // of the random behaviour of the targets
	Zones     []Zone
	Hosts     int // in each zone
	Processes int // toucantarget processes in each zone; 0 means 1
	Services  []Service
	Rules     fs.FS    // templates of the configuration folder; nil for the built-in ones
	Args      []string // added to the flags of every host
	Env       []string // added to the environment of every host

	// HostArgs, if not nil, is called before each start of a host and returns
	// flags that override Args; it may set the host's Advertise.
	HostArgs func(*Host) []string
}

// Zone is an availability zone and its region.
type Zone struct {
	Name   toucanzone.Name
	Region string
}

// Service is a service and the replicas that serve it.
type Service struct {
	Name     toucanservice.Name
	Shards   uint32
	Replicas int    // of each shard
	Age      uint64 // index versions behind the newest that may still be used
	Routes   []Route
	// Behavior is the template of all replicas; ID, Service and Shard are set
	// for each.
	Behavior toucanspec.Replica
}

// Route is a route of a service.
type Route struct {
	Name    string
	Once    bool // non-idempotent
	Timeout time.Duration
}

// NamedPlan returns one of the predefined plans: demo, plumas or kunene. The
// caller sets Bin and Dir. Network delays between regions and zones are not
// simulated. It returns CODE_INVALID for another name.
func NamedPlan(name string) (Plan, error) {
	switch name {
	case "demo":
		p := plumas()
		p.Hosts, p.Processes = 2, 2
		p.Services = []Service{
			shardedService("pairing", 6, "match", "pair"),
			shardedService("coordinator", 4, "find", "assign"),
		}
		return p, nil
	case "plumas":
		return plumas(), nil
	case "kunene":
		return kunene(), nil
	}
	return Plan{}, toucanfault.NotRun(toucanpb.Code_CODE_INVALID,
		fmt.Sprintf("size %q is not one of demo, plumas, kunene", name))
}

func plumas() Plan {
	return Plan{
		Seed:  1,
		Hosts: 2,
		Zones: []Zone{{"sierra", "andes"}, {"costa", "coast"}, {"oriente", "forest"}},
		Services: []Service{
			shardedService("pairing", 20, "match", "pair"),
			shardedService("coordinator", 30, "find", "assign"),
			singleShardService("letters", 5, 100, "read", "send"),
			singleShardService("accounts", 3, 100, "read", "change"),
		},
	}
}

func kunene() Plan {
	return Plan{
		Seed:  1,
		Hosts: 2,
		Zones: []Zone{{"kunene", "north"}, {"erongo", "west"}, {"khomas", "centre"}},
		Services: []Service{
			shardedService("rescue", 20, "find", "report"),
			shardedService("billing", 30, "find", "bill"),
			singleShardService("guide", 7, 40, "read", "book"),
			singleShardService("stock", 3, 40, "read", "take"),
		},
	}
}

// shardedService returns a service with two replicas of each shard. Slots,
// connections and connection cost are those of the pairing service in
// docs/design.md, section Sizes. read and once are the names of its idempotent
// and its non-idempotent route.
func shardedService(name toucanservice.Name, shards uint32, read, once string) Service {
	return newService(name, shards, 2, 2, 25, 6*time.Millisecond, read, once)
}

// singleShardService returns a service of one shard, with the slots and the
// connection cost of the letter archive in docs/design.md, section Sizes.
func singleShardService(name toucanservice.Name, replicas, connections int, read, once string) Service {
	return newService(name, 1, replicas, 3, connections, time.Millisecond, read, once)
}

func newService(name toucanservice.Name, shards uint32, replicas, slots, connections int, connect time.Duration, read, once string) Service {
	return Service{
		Name: name, Shards: shards, Replicas: replicas, Age: 2,
		Routes: []Route{{read, false, 2 * time.Second}, {once, true, 2 * time.Second}},
		Behavior: toucanspec.Replica{
			Version: "v1", Indexes: []uint64{1, 2},
			Slots: slots, MaxConnections: connections, ConnectCost: toucanspec.Duration(connect),
			Work:      toucanspec.Work{Median: toucanspec.Duration(5 * time.Millisecond), Spread: 0.3},
			ColdStart: toucanspec.ColdStart{Count: 8},
		},
	}
}

// placedReplica is a replica with its zone.
type placedReplica struct {
	toucanspec.Replica
	Zone toucanzone.Name
}

// replicas returns all replicas, those of each shard distributed over the zones.
func (p *Plan) replicas() []placedReplica {
	var out []placedReplica
	for _, s := range p.Services {
		for shard := range s.Shards {
			for i := range s.Replicas {
				zone := p.Zones[(int(shard)+i)%len(p.Zones)]
				r := s.Behavior
				r.ID = fmt.Sprintf("%s-%d-%c", s.Name, shard, 'a'+i)
				r.Service, r.Shard = string(s.Name), shard
				out = append(out, placedReplica{r, zone.Name})
			}
		}
	}
	return out
}
