package toucanfolder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"

	"go.yaml.in/yaml/v3"
)

type valueType int

const (
	scalar valueType = iota
	scalarList
	mappingList
)

// schema lists the keys allowed in one type of mapping; fields[0] is the name or
// id of the mapping, except in fileSchema.
type schema struct {
	noun   string // the type of mapping in error messages
	fields []field
}

type field struct {
	key       string
	valueType valueType
	schema    *schema
}

// Indexes into the fields of each schema.
const (
	zoneName = iota
	zoneRegion
	zoneSeeds
)

const (
	routeName = iota
	routeOnce
	routeTimeout
)

const (
	replicaID = iota
	replicaShard
	replicaZone
	replicaAddress
	replicaVersion
)

const (
	serviceName = iota
	serviceShards
	serviceSlots
	serviceConnections
	serviceConnect
	serviceAge
	serviceRoutes
	serviceReplicas
)

const (
	moveName = iota
	moveService
	moveFrom
	moveTo
	moveDeadline
	moveStart
	moveSteps
	moveBound
	moveSamples
)

const (
	fileOut = iota
	fileZones
	fileServices
	fileMoves
)

var (
	zoneSchema    = &schema{"zone", []field{{key: "name"}, {key: "region"}, {key: "seeds", valueType: scalarList}}}
	routeSchema   = &schema{"route", []field{{key: "name"}, {key: "once"}, {key: "timeout"}}}
	replicaSchema = &schema{"replica", []field{
		{key: "id"}, {key: "shard"}, {key: "zone"}, {key: "address"}, {key: "version"},
	}}
	serviceSchema = &schema{"service", []field{
		{key: "name"}, {key: "shards"}, {key: "slots"}, {key: "connections"}, {key: "connect"}, {key: "age"},
		{key: "routes", valueType: mappingList, schema: routeSchema}, {key: "replicas", valueType: mappingList, schema: replicaSchema},
	}}
	moveSchema = &schema{"move", []field{
		{key: "name"}, {key: "service"}, {key: "from"}, {key: "to"}, {key: "deadline"},
		{key: "start"}, {key: "steps", valueType: scalarList}, {key: "bound"}, {key: "samples"},
	}}
	// A file has no identifying key: fields[0] is out, which is never used as a name.
	fileSchema = &schema{"file", []field{
		{key: "out", valueType: scalarList}, {key: "zones", valueType: mappingList, schema: zoneSchema},
		{key: "services", valueType: mappingList, schema: serviceSchema}, {key: "moves", valueType: mappingList, schema: moveSchema},
	}}
)

// parsedFile is one configuration file with the problems found in it.
type parsedFile struct {
	name     string
	data     []byte
	root     *mapping
	problems []Problem
}

// mapping is a YAML mapping; values are in the order of its schema's fields.
type mapping struct {
	name   string
	file   *parsedFile
	line   int
	values []value
}

// value is the value of one key; line is 0 when the key is absent.
type value struct {
	text     string
	line     int
	file     *parsedFile
	list     []value
	children []*mapping
}

var (
	yamlErrorLine = regexp.MustCompile(`line (\d+): `)
	// The YAML library counts lines from 0 in errors of its parser and from 1 in
	// those of its scanner. This matches the text of parser errors.
	yamlParserError = regexp.MustCompile(`did not find expected (node content|key$|'-'|',' or|<)|found (undefined tag|duplicate|incompatible)`)
)

func parse(name string, data []byte) *parsedFile {
	p := &parsedFile{name: name, data: data, root: &mapping{values: make([]value, len(fileSchema.fields))}}
	p.root.file = p
	if !IsFileName(name) {
		p.addProblem(1, "not a file name of the configuration: letters, digits, '.', '_' and '-', ending in .yaml or .yml")
		return p
	}
	if len(data) > MaxFileBytes {
		p.data = nil
		p.addProblem(1, "file exceeds %d bytes", MaxFileBytes)
		return p
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	if err := dec.Decode(&doc); err != nil {
		if !errors.Is(err, io.EOF) {
			p.addSyntaxError(err)
		}
		return p
	}
	var rest yaml.Node
	if err := dec.Decode(&rest); !errors.Is(err, io.EOF) {
		if err != nil {
			p.addSyntaxError(err)
		} else {
			p.addProblem(rest.Line, "second document in one file")
		}
		return p
	}
	if len(doc.Content) != 1 || isNull(doc.Content[0]) {
		return p
	}
	p.parseMapping(doc.Content[0], fileSchema, p.root)
	return p
}

func (p *parsedFile) addProblem(line int, format string, args ...any) {
	if len(p.problems) < maxProblems {
		p.problems = append(p.problems, Problem{p.name, max(line, 1), fmt.Sprintf(format, args...)})
	}
}

func (p *parsedFile) addSyntaxError(err error) {
	line, text := 1, err.Error()
	if m := yamlErrorLine.FindStringSubmatchIndex(text); m != nil {
		line, _ = strconv.Atoi(text[m[2]:m[3]])
		text = text[m[1]:]
		if yamlParserError.MatchString(text) {
			line++
		}
	}
	p.addProblem(line, "%s", text)
}

func isNull(n *yaml.Node) bool { return n.Kind == yaml.ScalarNode && n.Tag == "!!null" }

func (p *parsedFile) parseMapping(node *yaml.Node, sch *schema, entry *mapping) {
	if node.Kind != yaml.MappingNode {
		p.addProblem(node.Line, "%s is not a mapping", sch.noun)
		return
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, content := node.Content[i], node.Content[i+1]
		index := sch.fieldIndex(key.Value)
		if key.Kind != yaml.ScalarNode || index < 0 {
			p.addProblem(key.Line, "unknown key %.40q of %s", key.Value, sch.noun)
			continue
		}
		if entry.values[index].line != 0 {
			p.addProblem(key.Line, "duplicate key %q, first on line %d", key.Value, entry.values[index].line)
			continue
		}
		entry.values[index] = p.parseValue(key.Line, content, &sch.fields[index])
	}
}

func (sch *schema) fieldIndex(key string) int {
	for i := range sch.fields {
		if sch.fields[i].key == key {
			return i
		}
	}
	return -1
}

func (p *parsedFile) parseValue(line int, node *yaml.Node, f *field) value {
	v := value{line: max(line, 1), file: p}
	switch f.valueType {
	case scalar:
		v.text, _ = p.parseScalar(node, f.key)
	case scalarList:
		if node.Kind != yaml.SequenceNode {
			p.addProblem(node.Line, "%s is not a list", f.key)
			return v
		}
		v.list = make([]value, 0, len(node.Content))
		for _, c := range node.Content {
			if s, ok := p.parseScalar(c, f.key); ok {
				v.list = append(v.list, value{text: s, line: max(c.Line, 1), file: p})
			}
		}
	case mappingList:
		if node.Kind != yaml.SequenceNode {
			p.addProblem(node.Line, "%s is not a list", f.key)
			return v
		}
		v.children = p.parseMappings(node, f.schema)
	}
	return v
}

func (p *parsedFile) parseMappings(node *yaml.Node, sch *schema) []*mapping {
	out := make([]*mapping, 0, len(node.Content))
	seen := make(map[string]int, len(node.Content))
	for _, c := range node.Content {
		entry := &mapping{file: p, line: max(c.Line, 1), values: make([]value, len(sch.fields))}
		before := len(p.problems)
		p.parseMapping(c, sch, entry)
		entry.name = entry.values[0].text
		switch first, duplicate := seen[entry.name]; {
		case entry.name == "" && len(p.problems) > before:
			// parseMapping has reported the reason.
		case entry.name == "":
			p.addProblem(c.Line, "%s without %s", sch.noun, sch.fields[0].key)
		case !isSafeName(entry.name):
			p.addProblem(entry.values[0].line, "bad name %.80q of %s: letters, digits, '.', '_' and '-', at most 128", entry.name, sch.noun)
		case duplicate:
			p.addProblem(c.Line, "duplicate %s %q, first on line %d", sch.noun, entry.name, first)
		default:
			seen[entry.name] = entry.line
			out = append(out, entry)
		}
	}
	return out
}

func (p *parsedFile) parseScalar(node *yaml.Node, key string) (string, bool) {
	switch {
	case node.Kind == yaml.AliasNode:
		p.addProblem(node.Line, "%s: aliases are not allowed", key)
	case node.Kind != yaml.ScalarNode:
		p.addProblem(node.Line, "%s is not a single value", key)
	case isNull(node) || node.Value == "":
		p.addProblem(node.Line, "%s has no value", key)
	default:
		return node.Value, true
	}
	return "", false
}

// isSafeName reports whether s can be used in store keys and file names.
func isSafeName(s string) bool {
	if s == "" || len(s) > MaxNameBytes || s[0] == '.' || s[0] == '-' {
		return false
	}
	for i := range len(s) {
		c := s[i]
		ok := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '_' || c == '-'
		if !ok {
			return false
		}
	}
	return true
}
