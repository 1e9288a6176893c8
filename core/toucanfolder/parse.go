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

type form int

const (
	text form = iota
	texts
	objects
)

// kind describes the keys of one sort of mapping; fields[0] is its name.
type kind struct {
	noun   string
	fields []field
}

type field struct {
	word string
	form form
	kind *kind
}

// Positions in the fields of each kind.
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
	zoneKind    = &kind{"zone", []field{{word: "name"}, {word: "region"}, {word: "seeds", form: texts}}}
	routeKind   = &kind{"route", []field{{word: "name"}, {word: "once"}, {word: "timeout"}}}
	replicaKind = &kind{"replica", []field{
		{word: "id"}, {word: "shard"}, {word: "zone"}, {word: "address"}, {word: "version"},
	}}
	serviceKind = &kind{"service", []field{
		{word: "name"}, {word: "shards"}, {word: "slots"}, {word: "connections"}, {word: "connect"}, {word: "age"},
		{word: "routes", form: objects, kind: routeKind}, {word: "replicas", form: objects, kind: replicaKind},
	}}
	moveKind = &kind{"move", []field{
		{word: "name"}, {word: "service"}, {word: "from"}, {word: "to"}, {word: "deadline"},
		{word: "start"}, {word: "steps", form: texts}, {word: "bound"}, {word: "samples"},
	}}
	// A file has no name of its own; out stands first because a list is never looked up by it.
	fileKind = &kind{"file", []field{
		{word: "out", form: texts}, {word: "zones", form: objects, kind: zoneKind},
		{word: "services", form: objects, kind: serviceKind}, {word: "moves", form: objects, kind: moveKind},
	}}
)

// piece is one parsed file.
type piece struct {
	name     string
	data     []byte
	root     *object
	problems []Problem
}

// object is a mapping; values are in the order of its kind's fields.
type object struct {
	name   string
	file   *piece
	line   int
	values []value
}

// value is given when its line is not 0.
type value struct {
	text string
	line int
	file *piece
	list []value
	kids []*object
}

var (
	yamlLine = regexp.MustCompile(`line (\d+): `)
	// The library counts lines from 0 in errors of its parser, and from 1 in
	// those of its scanner; the text tells them apart.
	yamlParser = regexp.MustCompile(`did not find expected (node content|key$|'-'|',' or|<)|found (undefined tag|duplicate|incompatible)`)
)

func parse(name string, data []byte) *piece {
	p := &piece{name: name, data: data, root: &object{values: make([]value, len(fileKind.fields))}}
	p.root.file = p
	if !IsFileName(name) {
		p.add(1, "not a file name of the configuration: letters, digits, '.', '_' and '-', ending in .yaml")
		return p
	}
	if len(data) > MaxFileBytes {
		p.data = nil
		p.add(1, "file over %d bytes", MaxFileBytes)
		return p
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	if err := dec.Decode(&doc); err != nil {
		if !errors.Is(err, io.EOF) {
			p.syntax(err)
		}
		return p
	}
	var rest yaml.Node
	if err := dec.Decode(&rest); !errors.Is(err, io.EOF) {
		if err != nil {
			p.syntax(err)
		} else {
			p.add(rest.Line, "second document in one file")
		}
		return p
	}
	if len(doc.Content) != 1 || isNull(doc.Content[0]) {
		return p
	}
	p.object(doc.Content[0], fileKind, p.root)
	return p
}

func (p *piece) add(line int, format string, args ...any) {
	if len(p.problems) < maxProblems {
		p.problems = append(p.problems, Problem{p.name, max(line, 1), fmt.Sprintf(format, args...)})
	}
}

func (p *piece) syntax(err error) {
	line, text := 1, err.Error()
	if m := yamlLine.FindStringSubmatchIndex(text); m != nil {
		line, _ = strconv.Atoi(text[m[2]:m[3]])
		text = text[m[1]:]
		if yamlParser.MatchString(text) {
			line++
		}
	}
	p.add(line, "%s", text)
}

func isNull(n *yaml.Node) bool { return n.Kind == yaml.ScalarNode && n.Tag == "!!null" }

func (p *piece) object(n *yaml.Node, k *kind, o *object) {
	if n.Kind != yaml.MappingNode {
		p.add(n.Line, "%s is not a mapping", k.noun)
		return
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		word, content := n.Content[i], n.Content[i+1]
		at := k.position(word.Value)
		if word.Kind != yaml.ScalarNode || at < 0 {
			p.add(word.Line, "unknown key %.40q of %s", word.Value, k.noun)
			continue
		}
		if o.values[at].line != 0 {
			p.add(word.Line, "duplicate key %q, first on line %d", word.Value, o.values[at].line)
			continue
		}
		o.values[at] = p.value(word.Line, content, &k.fields[at])
	}
}

func (k *kind) position(word string) int {
	for i := range k.fields {
		if k.fields[i].word == word {
			return i
		}
	}
	return -1
}

func (p *piece) value(line int, n *yaml.Node, f *field) value {
	v := value{line: max(line, 1), file: p}
	switch f.form {
	case text:
		v.text, _ = p.scalar(n, f.word)
	case texts:
		if n.Kind != yaml.SequenceNode {
			p.add(n.Line, "%s is not a list", f.word)
			return v
		}
		v.list = make([]value, 0, len(n.Content))
		for _, c := range n.Content {
			if s, ok := p.scalar(c, f.word); ok {
				v.list = append(v.list, value{text: s, line: max(c.Line, 1), file: p})
			}
		}
	case objects:
		if n.Kind != yaml.SequenceNode {
			p.add(n.Line, "%s is not a list", f.word)
			return v
		}
		v.kids = p.objects(n, f.kind)
	}
	return v
}

func (p *piece) objects(n *yaml.Node, k *kind) []*object {
	out := make([]*object, 0, len(n.Content))
	seen := make(map[string]int, len(n.Content))
	for _, c := range n.Content {
		o := &object{file: p, line: max(c.Line, 1), values: make([]value, len(k.fields))}
		before := len(p.problems)
		p.object(c, k, o)
		o.name = o.values[0].text
		switch first, twice := seen[o.name]; {
		case o.name == "" && len(p.problems) > before:
			// The reason has been reported.
		case o.name == "":
			p.add(c.Line, "%s without %s", k.noun, k.fields[0].word)
		case !isName(o.name):
			p.add(o.values[0].line, "bad name %.80q of %s: letters, digits, '.', '_' and '-', at most 128", o.name, k.noun)
		case twice:
			p.add(c.Line, "duplicate %s %q, first on line %d", k.noun, o.name, first)
		default:
			seen[o.name] = o.line
			out = append(out, o)
		}
	}
	return out
}

func (p *piece) scalar(n *yaml.Node, word string) (string, bool) {
	switch {
	case n.Kind == yaml.AliasNode:
		p.add(n.Line, "%s: aliases are not allowed", word)
	case n.Kind != yaml.ScalarNode:
		p.add(n.Line, "%s is not a single value", word)
	case isNull(n) || n.Value == "":
		p.add(n.Line, "%s has no value", word)
	default:
		return n.Value, true
	}
	return "", false
}

// isName reports whether s is safe as a part of store keys and file names.
func isName(s string) bool {
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
