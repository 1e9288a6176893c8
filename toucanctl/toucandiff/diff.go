// Package toucandiff compares two effective configurations value by value.
package toucandiff

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/reflect/protoreflect"

	"toucanstair.example/core/toucanpb"
)

// Change is a value that differs between two configurations. Old is empty if
// the value was added, New is empty if it was removed.
type Change struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// String formats the change as one line that starts with + (added),
// - (removed) or ~ (changed).
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Between returns the changes from before to after, sorted by path. It ignores
// the revision. A nil configuration counts as empty.
func Between(before, after *toucanpb.Rules) []Change {
	oldValues, newValues := flatten(before), flatten(after)
	var changes []Change
	for _, path := range slices.Sorted(maps.Keys(oldValues)) {
		if oldValues[path] != newValues[path] {
			changes = append(changes, Change{path, oldValues[path], newValues[path]})
		}
	}
	for path, value := range newValues {
		if _, known := oldValues[path]; !known {
			changes = append(changes, Change{Path: path, New: value})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Path, b.Path) })
	return changes
}

// flatten returns all values except the revision, keyed by path.
func flatten(rules *toucanpb.Rules) map[string]string {
	values := map[string]string{}
	if rules != nil {
		flattenMessage(rules.ProtoReflect(), "", values)
	}
	delete(values, "revision")
	return values
}

// flattenMessage adds the set fields of m to values, with keys that start with
// path. The key of a list entry contains its name or id instead of its index, so
// that reordering a list is not a change.
func flattenMessage(m protoreflect.Message, path string, values map[string]string) {
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		fieldPath := path + string(f.Name())
		if !f.IsList() {
			values[fieldPath] = v.String()
			return true
		}
		if f.Kind() != protoreflect.MessageKind {
			list := make([]any, 0, v.List().Len())
			for i := range v.List().Len() {
				list = append(list, v.List().Get(i).Interface())
			}
			values[fieldPath] = fmt.Sprint(list)
			return true
		}
		for i := range v.List().Len() {
			entry := v.List().Get(i).Message()
			// In each repeated message type, field number 1 is the name or id.
			flattenMessage(entry, fieldPath+"/"+entry.Get(entry.Descriptor().Fields().ByNumber(1)).String()+"/", values)
		}
		return true
	})
}
