package toucanfolder

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"toucanstair.example/core/toucanpb"
)

// Limits of configuration values.
const (
	maxShards      = 1 << 16
	maxSlots       = 1 << 10
	maxConnections = 1 << 16
	maxIndexAge    = 1 << 16
	maxSeeds       = 64
	maxSteps       = 32
	maxSamples     = 1_000_000
	maxConnectCost = 10 * time.Second
	// maxTimeout is the longest timeout of a leg. A new owner of a slot waits at
	// most this long for legs of the previous owner.
	maxTimeout = 2 * time.Second
)

// Defaults of a rollout.
const (
	defaultStart   = 0.02
	defaultBound   = 0.05
	defaultSamples = 100
)

var defaultSteps = []float64{0.1, 0.5, 1}

type checker struct {
	problems          []Problem
	isPast            func(*toucanpb.Move) bool
	zoneByName        map[string]*mapping
	zonesWithReplicas map[string]bool // zones with at least one replica
	replicaByID       map[string]*mapping
	replicaByAddress  map[netip.AddrPort]*mapping
}

func (f *Folder) check(isPast func(*toucanpb.Move) bool) (*toucanpb.Rules, []Problem) {
	c := &checker{
		problems:          slices.Clone(f.limitProblems),
		isPast:            isPast,
		zoneByName:        map[string]*mapping{},
		zonesWithReplicas: map[string]bool{},
		replicaByID:       map[string]*mapping{},
		replicaByAddress:  map[netip.AddrPort]*mapping{},
	}
	roots := make([]*mapping, 0, len(f.files)+1)
	roots = append(roots, &mapping{values: make([]value, len(fileSchema.fields))})
	for _, p := range f.files {
		c.problems = append(c.problems, p.problems...)
		roots = append(roots, p.root)
	}
	root := combine(fileSchema, roots)
	rules := &toucanpb.Rules{}
	for _, o := range root.values[fileZones].children {
		rules.Zones = append(rules.Zones, c.checkZone(o))
	}
	for _, v := range root.values[fileOut].list {
		c.checkOut(v, rules.GetZones())
	}
	services := map[string]*toucanpb.Service{}
	for _, o := range root.values[fileServices].children {
		s := c.checkService(o)
		services[o.name] = s
		rules.Services = append(rules.Services, s)
	}
	servicesWithMove := map[string]bool{}
	for _, o := range root.values[fileMoves].children {
		rules.Moves = append(rules.Moves, c.checkMove(o, services, servicesWithMove))
	}
	for _, z := range rules.GetZones() {
		if !z.GetOut() && !c.zonesWithReplicas[z.GetName()] {
			c.addProblemAt(c.zoneByName[z.GetName()], zoneName, "zone %q is in service and holds no replica", z.GetName())
		}
	}
	slices.SortStableFunc(c.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return rules, c.problems[:min(len(c.problems), maxProblems)]
}

func (c *checker) addProblem(v value, format string, args ...any) {
	if len(c.problems) < maxProblems {
		c.problems = append(c.problems, Problem{v.file.name, v.line, fmt.Sprintf(format, args...)})
	}
}

// addProblemAt reports a problem at a field of o, or at o when the field is absent.
func (c *checker) addProblemAt(o *mapping, field int, format string, args ...any) {
	v := o.values[field]
	if v.line == 0 {
		v = value{line: o.line, file: o.file}
	}
	c.addProblem(v, format, args...)
}

// required returns the text of a mandatory field and reports its absence.
func (c *checker) required(o *mapping, k *schema, field int) (string, bool) {
	v := o.values[field]
	if v.line == 0 {
		c.addProblemAt(o, field, "%s %q has no %s", k.noun, o.name, k.fields[field].key)
	}
	return v.text, v.text != ""
}

func (c *checker) parseNumber(o *mapping, k *schema, field int, minimum, maximum uint64) uint64 {
	s, ok := c.required(o, k, field)
	if !ok {
		return 0
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil || n < minimum || n > maximum {
		c.addProblemAt(o, field, "%s %.40q of %s %q is not a number from %d to %d", k.fields[field].key, s, k.noun, o.name, minimum, maximum)
	}
	return n
}

func (c *checker) parseDuration(o *mapping, k *schema, field int, minimum, maximum time.Duration) uint64 {
	s, ok := c.required(o, k, field)
	if !ok {
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < minimum || d > maximum {
		c.addProblemAt(o, field, "%s %.40q of %s %q is not a duration from %v to %v", k.fields[field].key, s, k.noun, o.name, minimum, maximum)
		return 0
	}
	return uint64(d / time.Microsecond)
}

// parseShare parses a number above 0 and at most 1.
func (c *checker) parseShare(v value, key string) float64 {
	x, err := strconv.ParseFloat(v.text, 64)
	if err != nil || !(x > 0 && x <= 1) {
		c.addProblem(v, "%s %.40q is not a share above 0 and at most 1", key, v.text)
		return 0
	}
	return x
}

func (c *checker) parseAddress(v value) netip.AddrPort {
	a, err := netip.ParseAddrPort(v.text)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		c.addProblem(v, "bad address %.80q: an IP number and a port are needed", v.text)
		return netip.AddrPort{}
	}
	return a
}

func (c *checker) checkZone(o *mapping) *toucanpb.Zone {
	c.zoneByName[o.name] = o
	z := &toucanpb.Zone{Name: o.name, Region: o.values[zoneRegion].text}
	if z.GetRegion() != "" && !isSafeName(z.GetRegion()) {
		c.addProblemAt(o, zoneRegion, "bad region %.80q of zone %q", z.GetRegion(), o.name)
	}
	seeds := o.values[zoneSeeds]
	if len(seeds.list) > maxSeeds {
		c.addProblem(seeds, "%d seeds, the limit is %d", len(seeds.list), maxSeeds)
	}
	for _, v := range seeds.list {
		c.parseAddress(v)
		z.Seeds = append(z.Seeds, v.text)
	}
	return z
}

func (c *checker) checkOut(v value, zones []*toucanpb.Zone) {
	i := slices.IndexFunc(zones, func(z *toucanpb.Zone) bool { return z.GetName() == v.text })
	switch {
	case i < 0:
		c.addProblem(v, "unknown zone %.80q in out", v.text)
	case zones[i].GetOut():
		c.addProblem(v, "zone %q is in out twice", v.text)
	default:
		zones[i].Out = true
	}
}

func (c *checker) checkService(o *mapping) *toucanpb.Service {
	k := serviceSchema
	s := &toucanpb.Service{
		Name:      o.name,
		Shards:    uint32(c.parseNumber(o, k, serviceShards, 1, maxShards)),
		Slots:     uint32(c.parseNumber(o, k, serviceSlots, 1, maxSlots)),
		ConnectUs: c.parseDuration(o, k, serviceConnect, 0, maxConnectCost),
	}
	s.Connections = uint32(c.parseNumber(o, k, serviceConnections, uint64(max(s.GetSlots(), 1)), maxConnections))
	if o.values[serviceAge].line != 0 {
		s.Age = c.parseNumber(o, k, serviceAge, 0, maxIndexAge)
	}
	for _, r := range o.values[serviceRoutes].children {
		s.Routes = append(s.Routes, c.checkRoute(r))
	}
	if len(s.GetRoutes()) == 0 {
		c.addProblemAt(o, serviceRoutes, "service %q has no routes", o.name)
	}
	kids := o.values[serviceReplicas].children
	s.Replicas = make([]*toucanpb.Replica, 0, len(kids))
	for _, r := range kids {
		s.Replicas = append(s.Replicas, c.checkReplica(r, s))
	}
	return s
}

func (c *checker) checkRoute(o *mapping) *toucanpb.Route {
	r := &toucanpb.Route{Name: o.name, TimeoutUs: c.parseDuration(o, routeSchema, routeTimeout, time.Millisecond, maxTimeout)}
	switch v := o.values[routeOnce]; v.text {
	case "", "false":
	case "true":
		r.Once = true
	default:
		c.addProblem(v, "once %.40q of route %q is neither true nor false", v.text, o.name)
	}
	return r
}

func (c *checker) checkReplica(o *mapping, s *toucanpb.Service) *toucanpb.Replica {
	if other := c.replicaByID[o.name]; other != nil {
		c.addProblemAt(o, replicaID, "duplicate replica %q, first at %s:%d", o.name, other.file.name, other.line)
	}
	c.replicaByID[o.name] = o
	r := &toucanpb.Replica{Id: o.name, Version: o.values[replicaVersion].text}
	if shard, ok := c.required(o, replicaSchema, replicaShard); ok {
		n, err := strconv.ParseUint(shard, 10, 32)
		if err != nil || n >= uint64(s.GetShards()) && s.GetShards() > 0 {
			c.addProblemAt(o, replicaShard, "shard %.40q of replica %q is outside 0 to %d", shard, o.name, int64(s.GetShards())-1)
		}
		r.Shard = uint32(n)
	}
	if zone, ok := c.required(o, replicaSchema, replicaZone); ok {
		if c.zoneByName[zone] == nil {
			c.addProblemAt(o, replicaZone, "unknown zone %.80q of replica %q", zone, o.name)
		}
		c.zonesWithReplicas[zone] = true
		r.Zone = zone
	}
	if address, ok := c.required(o, replicaSchema, replicaAddress); ok {
		r.Address = address
		a := c.parseAddress(o.values[replicaAddress])
		// Two replicas at one address would get twice the slots of one target.
		if other := c.replicaByAddress[a]; other != nil && a.IsValid() {
			c.addProblemAt(o, replicaAddress, "address %s of replica %q is that of %q at %s:%d", address, o.name, other.name, other.file.name, other.line)
		}
		c.replicaByAddress[a] = o
	}
	if v := r.GetVersion(); v != "" && !isSafeName(v) {
		c.addProblemAt(o, replicaVersion, "bad version %.80q of replica %q", v, o.name)
	}
	return r
}

func (c *checker) checkMove(o *mapping, services map[string]*toucanpb.Service, servicesWithMove map[string]bool) *toucanpb.Move {
	m := &toucanpb.Move{Name: o.name, Start: defaultStart, Bound: defaultBound, Samples: defaultSamples}
	service, named := c.required(o, moveSchema, moveService)
	m.Service = service
	m.From, _ = c.required(o, moveSchema, moveFrom)
	m.To, _ = c.required(o, moveSchema, moveTo)
	s := services[service]
	switch {
	case !named:
	case s == nil:
		c.addProblemAt(o, moveService, "unknown service %.80q of move %q", service, o.name)
	case servicesWithMove[service]:
		c.addProblemAt(o, moveService, "second move of service %q", service)
	}
	servicesWithMove[service] = true
	if m.GetFrom() == m.GetTo() && m.GetTo() != "" {
		c.addProblemAt(o, moveTo, "move %q is from and to version %q", o.name, m.GetTo())
	} else if s != nil && m.GetFrom() != "" && m.GetTo() != "" {
		c.checkVersions(o, m, s)
	}
	if text, ok := c.required(o, moveSchema, moveDeadline); ok {
		t, err := time.Parse(time.RFC3339, text)
		m.Deadline = t.Unix()
		if err != nil {
			c.addProblemAt(o, moveDeadline, "deadline %.40q of move %q is not a time like 2026-12-31T12:00:00Z", text, o.name)
		} else if c.isPast != nil && c.isPast(m) {
			c.addProblemAt(o, moveDeadline, "deadline %s of move %q is past", text, o.name)
		}
	}
	if v := o.values[moveStart]; v.line != 0 {
		m.Start = c.parseShare(v, "start")
	}
	if v := o.values[moveBound]; v.line != 0 {
		m.Bound = c.parseShare(v, "bound")
	}
	if o.values[moveSamples].line != 0 {
		m.Samples = c.parseNumber(o, moveSchema, moveSamples, 1, maxSamples)
	}
	if v := o.values[moveSteps]; v.line != 0 {
		m.Steps = c.checkSteps(o, v, m.GetStart())
	} else {
		m.Steps = defaultStepsAbove(m.GetStart())
	}
	return m
}

// defaultStepsAbove returns the default steps above start, or 1 if there are none.
func defaultStepsAbove(start float64) []float64 {
	out := slices.DeleteFunc(slices.Clone(defaultSteps), func(x float64) bool { return x <= start })
	if len(out) == 0 {
		return []float64{1}
	}
	return out
}

// checkVersions checks that the new version serves every shard that the old one
// serves; otherwise the rollout would lower coverage.
func (c *checker) checkVersions(o *mapping, m *toucanpb.Move, s *toucanpb.Service) {
	from, to := map[uint32]bool{}, map[uint32]bool{}
	for _, r := range s.GetReplicas() {
		from[r.GetShard()] = from[r.GetShard()] || r.GetVersion() == m.GetFrom()
		to[r.GetShard()] = to[r.GetShard()] || r.GetVersion() == m.GetTo()
	}
	anyFrom, missingShard := false, -1
	for shard, has := range from {
		anyFrom = anyFrom || has
		if has && !to[shard] && (missingShard < 0 || int(shard) < missingShard) {
			missingShard = int(shard)
		}
	}
	if !anyFrom {
		c.addProblemAt(o, moveFrom, "no replica of service %q has version %.80q", s.GetName(), m.GetFrom())
	}
	if missingShard >= 0 {
		c.addProblemAt(o, moveTo, "no replica of service %q has version %.80q on shard %d", s.GetName(), m.GetTo(), missingShard)
	}
}

func (c *checker) checkSteps(o *mapping, v value, start float64) []float64 {
	if len(v.list) == 0 || len(v.list) > maxSteps {
		c.addProblem(v, "move %q has %d steps, 1 to %d are needed", o.name, len(v.list), maxSteps)
		return nil
	}
	out := make([]float64, 0, len(v.list))
	last := start
	for _, e := range v.list {
		x := c.parseShare(e, "step")
		if x > 0 && x <= last {
			c.addProblem(e, "step %s of move %q is not above the share before it", e.text, o.name)
		}
		last = max(last, x)
		out = append(out, x)
	}
	if last < 1 {
		c.addProblem(v.list[len(v.list)-1], "the last step of move %q is not 1", o.name)
	}
	return out
}
