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
	maxShards      = 1 << 16   // of a service
	maxSlots       = 1 << 10   // of a replica
	maxConnections = 1 << 16   // to a replica
	maxIndexAge    = 1 << 16   // index versions
	maxSeeds       = 64        // of a zone
	maxSteps       = 32        // of a rollout
	maxSamples     = 1_000_000 // responses on each route
	maxConnectCost = 10 * time.Second
	// maxTimeout is the longest timeout of a leg. A new owner of a slot waits at
	// most this long for legs of the previous owner.
	maxTimeout = 2 * time.Second
)

// Defaults of a rollout.
const (
	defaultStart   = 0.02 // traffic share of the first stage
	defaultBound   = 0.05 // how much larger the new version's share of errors or slow responses may be
	defaultSamples = 100  // responses on each route
)

// defaultSteps are the traffic shares of the later stages.
var defaultSteps = []float64{0.1, 0.5, 1}

// checker builds the effective configuration and collects the problems in it.
type checker struct {
	problems          []Problem
	isPast            func(*toucanpb.Move) bool // whether to refuse the deadline as past; nil accepts any
	zoneByName        map[string]*mapping
	zonesWithReplicas map[string]bool
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
	// combine needs at least one part, also for a folder without files.
	roots = append(roots, &mapping{values: make([]value, len(fileSchema.fields))})
	for _, p := range f.files {
		c.problems = append(c.problems, p.problems...)
		roots = append(roots, p.root)
	}
	root := combine(fileSchema, roots)
	rules := &toucanpb.Rules{}
	for _, entry := range root.values[fileZones].children {
		rules.Zones = append(rules.Zones, c.checkZone(entry))
	}
	for _, v := range root.values[fileOut].list {
		c.checkOut(v, rules.GetZones())
	}
	services := map[string]*toucanpb.Service{}
	for _, entry := range root.values[fileServices].children {
		s := c.checkService(entry)
		services[entry.name] = s
		rules.Services = append(rules.Services, s)
	}
	servicesWithMove := map[string]bool{}
	for _, entry := range root.values[fileMoves].children {
		rules.Moves = append(rules.Moves, c.checkMove(entry, services, servicesWithMove))
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

// addProblemAt reports a problem at a field of entry, or at entry itself if the
// field is absent.
func (c *checker) addProblemAt(entry *mapping, field int, format string, args ...any) {
	v := entry.values[field]
	if v.line == 0 {
		v = value{line: entry.line, file: entry.file}
	}
	c.addProblem(v, format, args...)
}

// required returns the text of a mandatory field and reports its absence.
func (c *checker) required(entry *mapping, sch *schema, field int) (string, bool) {
	v := entry.values[field]
	if v.line == 0 {
		c.addProblemAt(entry, field, "%s %q has no %s", sch.noun, entry.name, sch.fields[field].key)
	}
	return v.text, v.text != ""
}

func (c *checker) parseNumber(entry *mapping, sch *schema, field int, minimum, maximum uint64) uint64 {
	s, ok := c.required(entry, sch, field)
	if !ok {
		return 0
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil || n < minimum || n > maximum {
		c.addProblemAt(entry, field, "%s %.40q of %s %q is not a number from %d to %d", sch.fields[field].key, s, sch.noun, entry.name, minimum, maximum)
	}
	return n
}

func (c *checker) parseDuration(entry *mapping, sch *schema, field int, minimum, maximum time.Duration) uint64 {
	s, ok := c.required(entry, sch, field)
	if !ok {
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < minimum || d > maximum {
		c.addProblemAt(entry, field, "%s %.40q of %s %q is not a duration from %v to %v", sch.fields[field].key, s, sch.noun, entry.name, minimum, maximum)
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
		c.addProblem(v, "bad address %.80q: an IP address and a port are needed", v.text)
		return netip.AddrPort{}
	}
	return a
}

func (c *checker) checkZone(entry *mapping) *toucanpb.Zone {
	c.zoneByName[entry.name] = entry
	z := &toucanpb.Zone{Name: entry.name, Region: entry.values[zoneRegion].text}
	if z.GetRegion() != "" && !isSafeName(z.GetRegion()) {
		c.addProblemAt(entry, zoneRegion, "bad region %.80q of zone %q", z.GetRegion(), entry.name)
	}
	seeds := entry.values[zoneSeeds]
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

func (c *checker) checkService(entry *mapping) *toucanpb.Service {
	sch := serviceSchema
	s := &toucanpb.Service{
		Name:      entry.name,
		Shards:    uint32(c.parseNumber(entry, sch, serviceShards, 1, maxShards)),
		Slots:     uint32(c.parseNumber(entry, sch, serviceSlots, 1, maxSlots)),
		ConnectUs: c.parseDuration(entry, sch, serviceConnect, 0, maxConnectCost),
	}
	s.Connections = uint32(c.parseNumber(entry, sch, serviceConnections, uint64(max(s.GetSlots(), 1)), maxConnections))
	if entry.values[serviceAge].line != 0 {
		s.Age = c.parseNumber(entry, sch, serviceAge, 0, maxIndexAge)
	}
	for _, item := range entry.values[serviceRoutes].children {
		s.Routes = append(s.Routes, c.checkRoute(item))
	}
	if len(s.GetRoutes()) == 0 {
		c.addProblemAt(entry, serviceRoutes, "service %q has no routes", entry.name)
	}
	replicas := entry.values[serviceReplicas].children
	s.Replicas = make([]*toucanpb.Replica, 0, len(replicas))
	for _, item := range replicas {
		s.Replicas = append(s.Replicas, c.checkReplica(item, s))
	}
	return s
}

func (c *checker) checkRoute(entry *mapping) *toucanpb.Route {
	r := &toucanpb.Route{Name: entry.name, TimeoutUs: c.parseDuration(entry, routeSchema, routeTimeout, time.Millisecond, maxTimeout)}
	switch v := entry.values[routeOnce]; v.text {
	case "", "false":
	case "true":
		r.Once = true
	default:
		c.addProblem(v, "once %.40q of route %q is neither true nor false", v.text, entry.name)
	}
	return r
}

func (c *checker) checkReplica(entry *mapping, s *toucanpb.Service) *toucanpb.Replica {
	if other := c.replicaByID[entry.name]; other != nil {
		c.addProblemAt(entry, replicaID, "duplicate replica %q, first at %s:%d", entry.name, other.file.name, other.line)
	}
	c.replicaByID[entry.name] = entry
	r := &toucanpb.Replica{Id: entry.name, Version: entry.values[replicaVersion].text}
	if shard, ok := c.required(entry, replicaSchema, replicaShard); ok {
		n, err := strconv.ParseUint(shard, 10, 32)
		if err != nil || n >= uint64(s.GetShards()) && s.GetShards() > 0 {
			c.addProblemAt(entry, replicaShard, "shard %.40q of replica %q is outside 0 to %d", shard, entry.name, int64(s.GetShards())-1)
		}
		r.Shard = uint32(n)
	}
	if zone, ok := c.required(entry, replicaSchema, replicaZone); ok {
		if c.zoneByName[zone] == nil {
			c.addProblemAt(entry, replicaZone, "unknown zone %.80q of replica %q", zone, entry.name)
		}
		c.zonesWithReplicas[zone] = true
		r.Zone = zone
	}
	if address, ok := c.required(entry, replicaSchema, replicaAddress); ok {
		r.Address = address
		a := c.parseAddress(entry.values[replicaAddress])
		// Two replicas at one address would get twice the slots of one target.
		if other := c.replicaByAddress[a]; other != nil && a.IsValid() {
			c.addProblemAt(entry, replicaAddress, "address %s of replica %q is already used by %q at %s:%d", address, entry.name, other.name, other.file.name, other.line)
		}
		c.replicaByAddress[a] = entry
	}
	if v := r.GetVersion(); v != "" && !isSafeName(v) {
		c.addProblemAt(entry, replicaVersion, "bad version %.80q of replica %q", v, entry.name)
	}
	return r
}

func (c *checker) checkMove(entry *mapping, services map[string]*toucanpb.Service, servicesWithMove map[string]bool) *toucanpb.Move {
	m := &toucanpb.Move{Name: entry.name, Start: defaultStart, Bound: defaultBound, Samples: defaultSamples}
	service, named := c.required(entry, moveSchema, moveService)
	m.Service = service
	m.From, _ = c.required(entry, moveSchema, moveFrom)
	m.To, _ = c.required(entry, moveSchema, moveTo)
	s := services[service]
	switch {
	case !named:
	case s == nil:
		c.addProblemAt(entry, moveService, "unknown service %.80q of move %q", service, entry.name)
	case servicesWithMove[service]:
		c.addProblemAt(entry, moveService, "second move of service %q", service)
	}
	servicesWithMove[service] = true
	if m.GetFrom() == m.GetTo() && m.GetTo() != "" {
		c.addProblemAt(entry, moveTo, "move %q is from and to version %q", entry.name, m.GetTo())
	} else if s != nil && m.GetFrom() != "" && m.GetTo() != "" {
		c.checkVersions(entry, m, s)
	}
	if text, ok := c.required(entry, moveSchema, moveDeadline); ok {
		t, err := time.Parse(time.RFC3339, text)
		m.Deadline = t.Unix()
		if err != nil {
			c.addProblemAt(entry, moveDeadline, "deadline %.40q of move %q is not a time like 2026-12-31T12:00:00Z", text, entry.name)
		} else if c.isPast != nil && c.isPast(m) {
			c.addProblemAt(entry, moveDeadline, "deadline %s of move %q is past", text, entry.name)
		}
	}
	if v := entry.values[moveStart]; v.line != 0 {
		m.Start = c.parseShare(v, "start")
	}
	if v := entry.values[moveBound]; v.line != 0 {
		m.Bound = c.parseShare(v, "bound")
	}
	if entry.values[moveSamples].line != 0 {
		m.Samples = c.parseNumber(entry, moveSchema, moveSamples, 1, maxSamples)
	}
	if v := entry.values[moveSteps]; v.line != 0 {
		m.Steps = c.checkSteps(entry, v, m.GetStart())
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
func (c *checker) checkVersions(entry *mapping, m *toucanpb.Move, s *toucanpb.Service) {
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
		c.addProblemAt(entry, moveFrom, "no replica of service %q has version %.80q", s.GetName(), m.GetFrom())
	}
	if missingShard >= 0 {
		c.addProblemAt(entry, moveTo, "no replica of service %q has version %.80q on shard %d", s.GetName(), m.GetTo(), missingShard)
	}
}

func (c *checker) checkSteps(entry *mapping, v value, start float64) []float64 {
	if len(v.list) == 0 || len(v.list) > maxSteps {
		c.addProblem(v, "move %q has %d steps, 1 to %d are needed", entry.name, len(v.list), maxSteps)
		return nil
	}
	out := make([]float64, 0, len(v.list))
	last := start
	for _, e := range v.list {
		x := c.parseShare(e, "step")
		if x > 0 && x <= last {
			c.addProblem(e, "step %s of move %q is not above the share before it", e.text, entry.name)
		}
		last = max(last, x)
		out = append(out, x)
	}
	if last < 1 {
		c.addProblem(v.list[len(v.list)-1], "the last step of move %q is not 1", entry.name)
	}
	return out
}
