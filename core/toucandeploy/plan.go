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

// Plan says what a deployment consists of.
type Plan struct {
	Bin       string // directory of the programs
	Dir       string // configuration folder that is written
	Seed      uint64
	Zones     []Zone
	Hosts     int // in each zone
	Processes int // of targets in each zone; 1 when 0
	Services  []Service
	Rules     fs.FS    // templates of the configuration folder; nil for the built-in ones
	Args      []string // added to the flags of every host
	Env       []string // added to the environment of every host

	// HostArgs is called before each start of a host and returns flags for
	// this host, which override the others; it may set Advertise. Nil adds none.
	HostArgs func(*Host) []string
}

// Zone is an availability zone.
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
	// Behaviour gives the slots, connections and all else that is common to
	// the replicas; id, service and shard are filled in.
	Behaviour toucanspec.Replica
}

// Route is a route of a service.
type Route struct {
	Name    string
	Once    bool // not idempotent
	Timeout time.Duration
}

// NamedPlan returns the plan of a deployment by its name: demo, plumas or kunene.
// Bin and Dir are left to the caller. Delays between regions and zones are not
// emulated.
func NamedPlan(name string) (Plan, error) {
	switch name {
	case "demo":
		p := plumas()
		p.Hosts, p.Processes = 2, 2
		p.Services = []Service{
			sharded("pairing", 6, "match", "pair"),
			sharded("coordinator", 4, "find", "assign"),
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
			sharded("pairing", 20, "match", "pair"),
			sharded("coordinator", 30, "find", "assign"),
			single("letters", 5, 100, "read", "send"),
			single("accounts", 3, 100, "read", "change"),
		},
	}
}

func kunene() Plan {
	return Plan{
		Seed:  1,
		Hosts: 2,
		Zones: []Zone{{"kunene", "north"}, {"erongo", "west"}, {"khomas", "centre"}},
		Services: []Service{
			sharded("rescue", 20, "find", "report"),
			sharded("billing", 30, "find", "bill"),
			single("guide", 7, 40, "read", "book"),
			single("stock", 3, 40, "read", "take"),
		},
	}
}

// sharded is a service of the shape of the pairing service in the design.
func sharded(name toucanservice.Name, shards uint32, read, once string) Service {
	return service(name, shards, 2, 2, 25, 6*time.Millisecond, read, once)
}

// single is a service of one shard of the shape of the letter archive.
func single(name toucanservice.Name, replicas, connections int, read, once string) Service {
	return service(name, 1, replicas, 3, connections, time.Millisecond, read, once)
}

func service(name toucanservice.Name, shards uint32, replicas, slots, connections int, connect time.Duration, read, once string) Service {
	return Service{
		Name: name, Shards: shards, Replicas: replicas, Age: 2,
		Routes: []Route{{read, false, 2 * time.Second}, {once, true, 2 * time.Second}},
		Behaviour: toucanspec.Replica{
			Version: "v1", Indexes: []uint64{1, 2},
			Slots: slots, MaxConnections: connections, ConnectCost: toucanspec.Duration(connect),
			Work:      toucanspec.Work{Median: toucanspec.Duration(5 * time.Millisecond), Spread: 0.3},
			ColdStart: toucanspec.ColdStart{Count: 8},
		},
	}
}

// placed is a replica with its zone.
type placed struct {
	toucanspec.Replica
	Zone toucanzone.Name
}

// replicas spreads the replicas of each shard over the zones.
func (p *Plan) replicas() []placed {
	var out []placed
	for _, s := range p.Services {
		for shard := range s.Shards {
			for i := range s.Replicas {
				zone := p.Zones[(int(shard)+i)%len(p.Zones)]
				r := s.Behaviour
				r.ID = fmt.Sprintf("%s-%d-%c", s.Name, shard, 'a'+i)
				r.Service, r.Shard = string(s.Name), shard
				out = append(out, placed{r, zone.Name})
			}
		}
	}
	return out
}
