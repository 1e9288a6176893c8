package toucanfolder

// merge merges lists of mappings by name and keeps the order of first
// occurrence. It does not modify parsed mappings, because later folders reuse
// them.
func merge(sch *schema, lists [][]*mapping) []*mapping {
	total := 0
	for _, l := range lists {
		total += len(l)
	}
	order := make([]*mapping, 0, total)
	index := make(map[string]int, total)
	var duplicates map[int][]*mapping
	for _, l := range lists {
		for _, entry := range l {
			position, found := index[entry.name]
			if !found {
				index[entry.name] = len(order)
				order = append(order, entry)
				continue
			}
			if duplicates == nil {
				duplicates = map[int][]*mapping{}
			}
			if duplicates[position] == nil {
				duplicates[position] = []*mapping{order[position]}
			}
			duplicates[position] = append(duplicates[position], entry)
		}
	}
	for position, ps := range duplicates {
		order[position] = combine(sch, ps)
	}
	return order
}

// combine returns a mapping whose fields have the value of the last part that
// sets them; lists of mappings are merged by name.
func combine(sch *schema, parts []*mapping) *mapping {
	first := parts[0]
	out := &mapping{name: first.name, file: first.file, line: first.line, values: make([]value, len(sch.fields))}
	for i := range sch.fields {
		var lists [][]*mapping
		for _, p := range parts {
			v := p.values[i]
			if v.line == 0 {
				continue
			}
			out.values[i] = v
			lists = append(lists, v.children)
		}
		if sch.fields[i].valueType == mappingList && len(lists) > 1 {
			out.values[i].children = merge(sch.fields[i].schema, lists)
		}
	}
	return out
}
