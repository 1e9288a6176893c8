// Package toucancatalog indexes the effective configuration for look-ups on
// the request path.
package toucancatalog

import (
	"slices"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/core/toucanshard"
	"toucanstair.example/core/toucanzone"
)

// Catalog is an immutable index of one revision of the configuration. The zero value
// is an empty configuration of revision 0.
type Catalog struct {
	rules    *toucanpb.Rules
	services map[toucanservice.Name]*serviceIndex
	replicas map[toucanreplica.ID]replicaService
	zones    map[toucanzone.Name]*toucanpb.Zone
	moves    map[toucanservice.Name]*toucanpb.Move
}

type serviceIndex struct {
	service     *toucanpb.Service
	routes      map[string]*toucanpb.Route
	replicas    map[shardZone][]*toucanpb.Replica
	oldReplicas map[shardZone][]*toucanpb.Replica // replicas without those of a move's new version
	zones       map[toucanshard.ID][]toucanzone.Name
}

type shardZone struct {
	shard toucanshard.ID
	zone  toucanzone.Name
}

type replicaService struct {
	replica *toucanpb.Replica
	service *toucanpb.Service
}

// New indexes rules, which must not be changed afterwards.
func New(rules *toucanpb.Rules) *Catalog {
	c := &Catalog{
		rules:    rules,
		services: make(map[toucanservice.Name]*serviceIndex, len(rules.GetServices())),
		replicas: make(map[toucanreplica.ID]replicaService),
		zones:    make(map[toucanzone.Name]*toucanpb.Zone, len(rules.GetZones())),
		moves:    make(map[toucanservice.Name]*toucanpb.Move, len(rules.GetMoves())),
	}
	for _, z := range rules.GetZones() {
		c.zones[toucanzone.Name(z.GetName())] = z
	}
	for _, m := range rules.GetMoves() {
		c.moves[toucanservice.Name(m.GetService())] = m
	}
	for _, s := range rules.GetServices() {
		c.services[toucanservice.Name(s.GetName())] = c.indexService(s)
	}
	return c
}

func (c *Catalog) indexService(s *toucanpb.Service) *serviceIndex {
	e := &serviceIndex{
		service:     s,
		routes:      make(map[string]*toucanpb.Route, len(s.GetRoutes())),
		replicas:    make(map[shardZone][]*toucanpb.Replica),
		oldReplicas: make(map[shardZone][]*toucanpb.Replica),
		zones:       make(map[toucanshard.ID][]toucanzone.Name),
	}
	for _, r := range s.GetRoutes() {
		e.routes[r.GetName()] = r
	}
	move := c.moves[toucanservice.Name(s.GetName())]
	for _, r := range s.GetReplicas() {
		shard, zone := toucanshard.ID(r.GetShard()), toucanzone.Name(r.GetZone())
		p := shardZone{shard, zone}
		e.replicas[p] = append(e.replicas[p], r)
		if move == nil || r.GetVersion() != move.GetTo() {
			e.oldReplicas[p] = append(e.oldReplicas[p], r)
		}
		if !slices.Contains(e.zones[shard], zone) {
			e.zones[shard] = append(e.zones[shard], zone)
		}
		c.replicas[toucanreplica.ID(r.GetId())] = replicaService{r, s}
	}
	return e
}

// Rules returns the indexed configuration.
func (c *Catalog) Rules() *toucanpb.Rules { return c.rules }

// Revision returns the revision of the configuration.
func (c *Catalog) Revision() uint64 { return c.rules.GetRevision() }

// Service returns the service of that name, or nil.
func (c *Catalog) Service(name toucanservice.Name) *toucanpb.Service {
	if e := c.services[name]; e != nil {
		return e.service
	}
	return nil
}

// Route returns a route of a service, or nil.
func (c *Catalog) Route(service toucanservice.Name, route string) *toucanpb.Route {
	if e := c.services[service]; e != nil {
		return e.routes[route]
	}
	return nil
}

// Replicas returns the replicas of a shard in a zone. The caller must not change the
// slice.
func (c *Catalog) Replicas(service toucanservice.Name, shard toucanshard.ID, zone toucanzone.Name) []*toucanpb.Replica {
	if e := c.services[service]; e != nil {
		return e.replicas[shardZone{shard, zone}]
	}
	return nil
}

// ReplicasForVersion returns the replicas of a shard in a zone that may serve a
// request assigned to a version. During a move, requests of the old version never go
// to the new one, which bounds the share of the new version; requests of the new
// version may go to the old one. The caller must not change the slice.
func (c *Catalog) ReplicasForVersion(service toucanservice.Name, shard toucanshard.ID, zone toucanzone.Name, version string) []*toucanpb.Replica {
	m := c.moves[service]
	if m == nil || version != m.GetFrom() {
		return c.Replicas(service, shard, zone)
	}
	if e := c.services[service]; e != nil {
		return e.oldReplicas[shardZone{shard, zone}]
	}
	return nil
}

// ZonesOfShard returns the zones with replicas of a shard. The caller must not change
// the slice.
func (c *Catalog) ZonesOfShard(service toucanservice.Name, shard toucanshard.ID) []toucanzone.Name {
	if e := c.services[service]; e != nil {
		return e.zones[shard]
	}
	return nil
}

// Replica returns a replica and its service, or nil for both.
func (c *Catalog) Replica(id toucanreplica.ID) (*toucanpb.Replica, *toucanpb.Service) {
	entry := c.replicas[id]
	return entry.replica, entry.service
}

// Zones returns all zones.
func (c *Catalog) Zones() []*toucanpb.Zone { return c.rules.GetZones() }

// Zone returns the zone of that name, or nil.
func (c *Catalog) Zone(name toucanzone.Name) *toucanpb.Zone { return c.zones[name] }

// ZoneOutOfService reports whether a zone is configured as out of service; it is false
// for an unknown zone.
func (c *Catalog) ZoneOutOfService(name toucanzone.Name) bool { return c.zones[name].GetOut() }

// Move returns the move of a service to a new version, or nil.
func (c *Catalog) Move(service toucanservice.Name) *toucanpb.Move { return c.moves[service] }
