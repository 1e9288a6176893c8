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

// Bounds of values.
const (
	maxShards      = 1 << 16
	maxSlots       = 1 << 10
	maxConnections = 1 << 16
	maxAge         = 1 << 16
	maxSeeds       = 64
	maxSteps       = 32
	maxSamples     = 1_000_000
	maxConnect     = 10 * time.Second
	// maxTimeout is the longest leg: new owners of a slot wait no longer than
	// that for legs of the earlier owner.
	maxTimeout = 2 * time.Second
)

// Defaults of a move.
const (
	defaultStart   = 0.02
	defaultBound   = 0.05
	defaultSamples = 100
)

var defaultSteps = []float64{0.1, 0.5, 1}

type checker struct {
	problems []Problem
	past     func(*toucanpb.Move) bool
	zones    map[string]*object
	held     map[string]bool // zones that hold a replica
	replicas map[string]*object
	address  map[netip.AddrPort]*object
}

func (f *Folder) check(past func(*toucanpb.Move) bool) (*toucanpb.Rules, []Problem) {
	c := &checker{
		problems: slices.Clone(f.early),
		past:     past,
		zones:    map[string]*object{},
		held:     map[string]bool{},
		replicas: map[string]*object{},
		address:  map[netip.AddrPort]*object{},
	}
	roots := make([]*object, 0, len(f.pieces)+1)
	roots = append(roots, &object{values: make([]value, len(fileKind.fields))})
	for _, p := range f.pieces {
		c.problems = append(c.problems, p.problems...)
		roots = append(roots, p.root)
	}
	root := combine(fileKind, roots)
	rules := &toucanpb.Rules{}
	for _, o := range root.values[fileZones].kids {
		rules.Zones = append(rules.Zones, c.zone(o))
	}
	for _, v := range root.values[fileOut].list {
		c.out(v, rules.GetZones())
	}
	services := map[string]*toucanpb.Service{}
	for _, o := range root.values[fileServices].kids {
		s := c.service(o)
		services[o.name] = s
		rules.Services = append(rules.Services, s)
	}
	moved := map[string]bool{}
	for _, o := range root.values[fileMoves].kids {
		rules.Moves = append(rules.Moves, c.move(o, services, moved))
	}
	for _, z := range rules.GetZones() {
		if !z.GetOut() && !c.held[z.GetName()] {
			c.at(c.zones[z.GetName()], zoneName, "zone %q is in service and holds no replica", z.GetName())
		}
	}
	slices.SortStableFunc(c.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return rules, c.problems[:min(len(c.problems), maxProblems)]
}

func (c *checker) add(v value, format string, args ...any) {
	if len(c.problems) < maxProblems {
		c.problems = append(c.problems, Problem{v.file.name, v.line, fmt.Sprintf(format, args...)})
	}
}

// at reports a problem at a field of o, or at o when the field is not given.
func (c *checker) at(o *object, field int, format string, args ...any) {
	v := o.values[field]
	if v.line == 0 {
		v = value{line: o.line, file: o.file}
	}
	c.add(v, format, args...)
}

// required returns the text of a field that must be given.
func (c *checker) required(o *object, k *kind, field int) (string, bool) {
	v := o.values[field]
	if v.line == 0 {
		c.at(o, field, "%s %q has no %s", k.noun, o.name, k.fields[field].word)
	}
	return v.text, v.text != ""
}

func (c *checker) number(o *object, k *kind, field int, least, most uint64) uint64 {
	s, ok := c.required(o, k, field)
	if !ok {
		return 0
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil || n < least || n > most {
		c.at(o, field, "%s %.40q of %s %q is not a number from %d to %d", k.fields[field].word, s, k.noun, o.name, least, most)
	}
	return n
}

func (c *checker) span(o *object, k *kind, field int, least, most time.Duration) uint64 {
	s, ok := c.required(o, k, field)
	if !ok {
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < least || d > most {
		c.at(o, field, "%s %.40q of %s %q is not a duration from %v to %v", k.fields[field].word, s, k.noun, o.name, least, most)
		return 0
	}
	return uint64(d / time.Microsecond)
}

// share checks a number above 0 and at most 1.
func (c *checker) share(v value, word string) float64 {
	x, err := strconv.ParseFloat(v.text, 64)
	if err != nil || !(x > 0 && x <= 1) {
		c.add(v, "%s %.40q is not a share above 0 and at most 1", word, v.text)
		return 0
	}
	return x
}

func (c *checker) endpoint(v value) netip.AddrPort {
	a, err := netip.ParseAddrPort(v.text)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		c.add(v, "bad address %.80q: an IP number and a port are needed", v.text)
		return netip.AddrPort{}
	}
	return a
}

func (c *checker) zone(o *object) *toucanpb.Zone {
	c.zones[o.name] = o
	z := &toucanpb.Zone{Name: o.name, Region: o.values[zoneRegion].text}
	if z.GetRegion() != "" && !isName(z.GetRegion()) {
		c.at(o, zoneRegion, "bad region %.80q of zone %q", z.GetRegion(), o.name)
	}
	seeds := o.values[zoneSeeds]
	if len(seeds.list) > maxSeeds {
		c.add(seeds, "%d seeds, the limit is %d", len(seeds.list), maxSeeds)
	}
	for _, v := range seeds.list {
		c.endpoint(v)
		z.Seeds = append(z.Seeds, v.text)
	}
	return z
}

func (c *checker) out(v value, zones []*toucanpb.Zone) {
	i := slices.IndexFunc(zones, func(z *toucanpb.Zone) bool { return z.GetName() == v.text })
	switch {
	case i < 0:
		c.add(v, "unknown zone %.80q in out", v.text)
	case zones[i].GetOut():
		c.add(v, "zone %q is in out twice", v.text)
	default:
		zones[i].Out = true
	}
}

func (c *checker) service(o *object) *toucanpb.Service {
	k := serviceKind
	s := &toucanpb.Service{
		Name:      o.name,
		Shards:    uint32(c.number(o, k, serviceShards, 1, maxShards)),
		Slots:     uint32(c.number(o, k, serviceSlots, 1, maxSlots)),
		ConnectUs: c.span(o, k, serviceConnect, 0, maxConnect),
	}
	s.Connections = uint32(c.number(o, k, serviceConnections, uint64(max(s.GetSlots(), 1)), maxConnections))
	if o.values[serviceAge].line != 0 {
		s.Age = c.number(o, k, serviceAge, 0, maxAge)
	}
	for _, r := range o.values[serviceRoutes].kids {
		s.Routes = append(s.Routes, c.route(r))
	}
	if len(s.GetRoutes()) == 0 {
		c.at(o, serviceRoutes, "service %q has no routes", o.name)
	}
	kids := o.values[serviceReplicas].kids
	s.Replicas = make([]*toucanpb.Replica, 0, len(kids))
	for _, r := range kids {
		s.Replicas = append(s.Replicas, c.replica(r, s))
	}
	return s
}

func (c *checker) route(o *object) *toucanpb.Route {
	r := &toucanpb.Route{Name: o.name, TimeoutUs: c.span(o, routeKind, routeTimeout, time.Millisecond, maxTimeout)}
	switch v := o.values[routeOnce]; v.text {
	case "", "false":
	case "true":
		r.Once = true
	default:
		c.add(v, "once %.40q of route %q is neither true nor false", v.text, o.name)
	}
	return r
}

func (c *checker) replica(o *object, s *toucanpb.Service) *toucanpb.Replica {
	if other := c.replicas[o.name]; other != nil {
		c.at(o, replicaID, "duplicate replica %q, first at %s:%d", o.name, other.file.name, other.line)
	}
	c.replicas[o.name] = o
	r := &toucanpb.Replica{Id: o.name, Version: o.values[replicaVersion].text}
	if shard, ok := c.required(o, replicaKind, replicaShard); ok {
		n, err := strconv.ParseUint(shard, 10, 32)
		if err != nil || n >= uint64(s.GetShards()) && s.GetShards() > 0 {
			c.at(o, replicaShard, "shard %.40q of replica %q is outside 0 to %d", shard, o.name, int64(s.GetShards())-1)
		}
		r.Shard = uint32(n)
	}
	if zone, ok := c.required(o, replicaKind, replicaZone); ok {
		if c.zones[zone] == nil {
			c.at(o, replicaZone, "unknown zone %.80q of replica %q", zone, o.name)
		}
		c.held[zone] = true
		r.Zone = zone
	}
	if address, ok := c.required(o, replicaKind, replicaAddress); ok {
		r.Address = address
		a := c.endpoint(o.values[replicaAddress])
		// Two replicas at one address would give one target two sets of slots.
		if other := c.address[a]; other != nil && a.IsValid() {
			c.at(o, replicaAddress, "address %s of replica %q is that of %q at %s:%d", address, o.name, other.name, other.file.name, other.line)
		}
		c.address[a] = o
	}
	if v := r.GetVersion(); v != "" && !isName(v) {
		c.at(o, replicaVersion, "bad version %.80q of replica %q", v, o.name)
	}
	return r
}

func (c *checker) move(o *object, services map[string]*toucanpb.Service, moved map[string]bool) *toucanpb.Move {
	m := &toucanpb.Move{Name: o.name, Start: defaultStart, Bound: defaultBound, Samples: defaultSamples}
	service, named := c.required(o, moveKind, moveService)
	m.Service = service
	m.From, _ = c.required(o, moveKind, moveFrom)
	m.To, _ = c.required(o, moveKind, moveTo)
	s := services[service]
	switch {
	case !named:
	case s == nil:
		c.at(o, moveService, "unknown service %.80q of move %q", service, o.name)
	case moved[service]:
		c.at(o, moveService, "second move of service %q", service)
	}
	moved[service] = true
	if m.GetFrom() == m.GetTo() && m.GetTo() != "" {
		c.at(o, moveTo, "move %q is from and to version %q", o.name, m.GetTo())
	} else if s != nil && m.GetFrom() != "" && m.GetTo() != "" {
		c.versions(o, m, s)
	}
	if text, ok := c.required(o, moveKind, moveDeadline); ok {
		t, err := time.Parse(time.RFC3339, text)
		m.Deadline = t.Unix()
		if err != nil {
			c.at(o, moveDeadline, "deadline %.40q of move %q is not a time like 2026-12-31T12:00:00Z", text, o.name)
		} else if c.past != nil && c.past(m) {
			c.at(o, moveDeadline, "deadline %s of move %q is past", text, o.name)
		}
	}
	if v := o.values[moveStart]; v.line != 0 {
		m.Start = c.share(v, "start")
	}
	if v := o.values[moveBound]; v.line != 0 {
		m.Bound = c.share(v, "bound")
	}
	if o.values[moveSamples].line != 0 {
		m.Samples = c.number(o, moveKind, moveSamples, 1, maxSamples)
	}
	if v := o.values[moveSteps]; v.line != 0 {
		m.Steps = c.steps(o, v, m.GetStart())
	} else {
		m.Steps = defaultsAbove(m.GetStart())
	}
	return m
}

// defaultsAbove returns the default steps above start, at least the full share.
func defaultsAbove(start float64) []float64 {
	out := slices.DeleteFunc(slices.Clone(defaultSteps), func(x float64) bool { return x <= start })
	if len(out) == 0 {
		return []float64{1}
	}
	return out
}

// versions checks that each shard that the old version serves is served by
// the new one too; otherwise the move would lower coverage.
func (c *checker) versions(o *object, m *toucanpb.Move, s *toucanpb.Service) {
	from, to := map[uint32]bool{}, map[uint32]bool{}
	for _, r := range s.GetReplicas() {
		from[r.GetShard()] = from[r.GetShard()] || r.GetVersion() == m.GetFrom()
		to[r.GetShard()] = to[r.GetShard()] || r.GetVersion() == m.GetTo()
	}
	some, lacking := false, -1
	for shard, has := range from {
		some = some || has
		if has && !to[shard] && (lacking < 0 || int(shard) < lacking) {
			lacking = int(shard)
		}
	}
	if !some {
		c.at(o, moveFrom, "no replica of service %q has version %.80q", s.GetName(), m.GetFrom())
	}
	if lacking >= 0 {
		c.at(o, moveTo, "no replica of service %q has version %.80q on shard %d", s.GetName(), m.GetTo(), lacking)
	}
}

func (c *checker) steps(o *object, v value, start float64) []float64 {
	if len(v.list) == 0 || len(v.list) > maxSteps {
		c.add(v, "move %q has %d steps, 1 to %d are needed", o.name, len(v.list), maxSteps)
		return nil
	}
	out := make([]float64, 0, len(v.list))
	last := start
	for _, e := range v.list {
		x := c.share(e, "step")
		if x > 0 && x <= last {
			c.add(e, "step %s of move %q is not above the share before it", e.text, o.name)
		}
		last = max(last, x)
		out = append(out, x)
	}
	if last < 1 {
		c.add(v.list[len(v.list)-1], "the last step of move %q is not 1", o.name)
	}
	return out
}
