package toucandeploy

import (
	"bytes"
	"cmp"
	"embed"
	"io/fs"
	"os"
	"path/filepath"
	"text/template"
	"time"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/core/toucanzone"
)

//go:embed rules/*.yaml
var builtin embed.FS

// Values is the data for the templates of the configuration folder.
type Values struct {
	Zones    []ZoneValues
	Services []ServiceValues
}

// ZoneValues describes a zone; Seeds are the peer addresses of its hosts.
type ZoneValues struct {
	Name   toucanzone.Name
	Region string
	Seeds  []string
}

// ServiceValues describes a service with the addresses of its replicas.
type ServiceValues struct {
	Name        toucanservice.Name
	Shards      uint32
	Age         uint64
	Slots       int
	Connections int
	Connect     time.Duration
	Routes      []Route
	Replicas    []ReplicaValues
}

// ReplicaValues describes a replica.
type ReplicaValues struct {
	ID, Address, Version string
	Shard                uint32
	Zone                 toucanzone.Name
}

// Seeds returns the peer addresses of a zone's hosts.
func (v Values) Seeds(zone toucanzone.Name) []string {
	for _, z := range v.Zones {
		if z.Name == zone {
			return z.Seeds
		}
	}
	return nil
}

// Replicas returns the replicas of a service.
func (v Values) Replicas(service toucanservice.Name) []ReplicaValues {
	for _, s := range v.Services {
		if s.Name == service {
			return s.Replicas
		}
	}
	return nil
}

// Values returns the data for the templates, with the current addresses.
func (d *Deployment) Values() Values {
	var v Values
	for _, z := range d.Plan.Zones {
		zone := ZoneValues{Name: z.Name, Region: z.Region}
		for _, h := range d.Hosts {
			if h.Zone == z.Name {
				zone.Seeds = append(zone.Seeds, cmp.Or(h.Advertise, h.Peers))
			}
		}
		v.Zones = append(v.Zones, zone)
	}
	for _, s := range d.Plan.Services {
		b := s.Behavior
		service := ServiceValues{
			Name: s.Name, Shards: s.Shards, Age: s.Age, Slots: b.Slots, Connections: b.MaxConnections,
			Connect: time.Duration(b.ConnectCost), Routes: s.Routes,
		}
		for _, r := range d.Plan.replicas() {
			if r.Service == string(s.Name) {
				service.Replicas = append(service.Replicas,
					ReplicaValues{r.ID, d.replicaAddress(r.ID), r.Version, r.Shard, r.Zone})
			}
		}
		v.Services = append(v.Services, service)
	}
	return v
}

// WriteRules executes the templates and writes the files to the plan's Dir.
func (d *Deployment) WriteRules() error {
	files := d.Plan.Rules
	if files == nil {
		sub, err := fs.Sub(builtin, "rules")
		if err != nil {
			return failure("reading the templates", err)
		}
		files = sub
	}
	names, err := fs.Glob(files, "*.yaml")
	if err != nil {
		return failure("reading the templates", err)
	}
	values := d.Values()
	for _, name := range names {
		t, err := template.ParseFS(files, name)
		if err != nil {
			return failure("template "+name, err)
		}
		var b bytes.Buffer
		if err := t.Execute(&b, values); err != nil {
			return failure("template "+name, err)
		}
		if err := os.WriteFile(filepath.Join(d.Plan.Dir, name), b.Bytes(), 0o600); err != nil {
			return failure("writing "+name, err)
		}
	}
	return nil
}

func failure(detail string, cause error) error {
	return (&toucanfault.Error{Code: toucanpb.Code_CODE_FAILED, Detail: detail}).Because(cause)
}
