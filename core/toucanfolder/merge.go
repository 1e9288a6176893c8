package toucanfolder

// merge combines lists of one kind in order; parsed objects are not changed,
// because later folders reuse them.
func merge(k *kind, lists [][]*object) []*object {
	total := 0
	for _, l := range lists {
		total += len(l)
	}
	order := make([]*object, 0, total)
	index := make(map[string]int, total)
	var parts map[int][]*object
	for _, l := range lists {
		for _, o := range l {
			at, known := index[o.name]
			if !known {
				index[o.name] = len(order)
				order = append(order, o)
				continue
			}
			if parts == nil {
				parts = map[int][]*object{}
			}
			if parts[at] == nil {
				parts[at] = []*object{order[at]}
			}
			parts[at] = append(parts[at], o)
		}
	}
	for at, ps := range parts {
		order[at] = combine(k, ps)
	}
	return order
}

// combine gives each field the value of the last part that has it; lists of
// objects are merged by name.
func combine(k *kind, parts []*object) *object {
	first := parts[0]
	out := &object{name: first.name, file: first.file, line: first.line, values: make([]value, len(k.fields))}
	for i := range k.fields {
		var lists [][]*object
		for _, p := range parts {
			v := p.values[i]
			if v.line == 0 {
				continue
			}
			out.values[i] = v
			lists = append(lists, v.kids)
		}
		if k.fields[i].form == objects && len(lists) > 1 {
			out.values[i].kids = merge(k.fields[i].kind, lists)
		}
	}
	return out
}
