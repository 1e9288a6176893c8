// Package toucandiff compares effective configurations.
package toucandiff

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/reflect/protoreflect"

	"toucanstair.example/core/toucanpb"
)

// Change is one value of the effective configuration that differs. Old is
// empty for a value that was added, New for one that was removed.
type Change struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// String returns the change in one line that starts with +, - or ~.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Between returns the changes from one configuration to another, ordered by
// path; the revision is left out. Either may be nil.
func Between(before, after *toucanpb.Rules) []Change {
	olds, news := flat(before), flat(after)
	var out []Change
	for _, path := range slices.Sorted(maps.Keys(olds)) {
		if olds[path] != news[path] {
			out = append(out, Change{path, olds[path], news[path]})
		}
	}
	for path, value := range news {
		if _, known := olds[path]; !known {
			out = append(out, Change{Path: path, New: value})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Path, b.Path) })
	return out
}

func flat(r *toucanpb.Rules) map[string]string {
	out := map[string]string{}
	if r != nil {
		walk(r.ProtoReflect(), "", out)
	}
	delete(out, "revision")
	return out
}

// walk adds the values of m below path; entries of lists are named by their
// name or id, so that their order does not matter.
func walk(m protoreflect.Message, path string, out map[string]string) {
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		at := path + string(f.Name())
		if !f.IsList() {
			out[at] = v.String()
			return true
		}
		if f.Kind() != protoreflect.MessageKind {
			list := make([]any, 0, v.List().Len())
			for i := range v.List().Len() {
				list = append(list, v.List().Get(i).Interface())
			}
			out[at] = fmt.Sprint(list)
			return true
		}
		for i := range v.List().Len() {
			e := v.List().Get(i).Message()
			// The first field of every entry is its name or id.
			walk(e, at+"/"+e.Get(e.Descriptor().Fields().ByNumber(1)).String()+"/", out)
		}
		return true
	})
}
