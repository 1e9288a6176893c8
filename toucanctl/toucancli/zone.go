package toucancli

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanfolder"
	"toucanstair.example/core/toucanpb"
)

const (
	outKey  = "out"
	outFile = "out.yaml"
)

func (c *Command) zoneCommand() *cobra.Command {
	sub := func(use, short string, out bool) *cobra.Command {
		cmd := &cobra.Command{Use: use + " NAME", Short: short, Args: cobra.ExactArgs(1),
			RunE: c.run(func(ctx context.Context, args []string) error { return c.zone(ctx, args[0], out) })}
		cmd.Flags().StringVar(&c.dir, "dir", ".", "configuration folder")
		cmd.Flags().BoolVar(&c.all, "all", false, "publish other changes of the folder too")
		c.writeFlags(cmd)
		return cmd
	}
	return group("zone", "Take a zone out of service or in again",
		sub("out", "Take a zone out of service", true), sub("in", "Take a zone in again", false))
}

// zone edits the list out in a copy of the folder, publishes it, and writes
// the file when the change took effect or may do so. A change that lost a race
// or failed leaves the folder as it was.
func (c *Command) zone(ctx context.Context, name string, out bool) error {
	f, err := toucanfolder.Open(c.dir)
	if err != nil {
		return err
	}
	// Mistakes are reported with the lines of the files on disk.
	if err := c.sound(f.Problems(), false); err != nil {
		return err
	}
	files := maps.Clone(f.Files())
	file, data, err := edit(files, name, out)
	if err != nil {
		return err
	}
	files[file] = data
	s, err := c.plan(ctx, toucanfolder.New(files, f))
	if err != nil {
		return err
	}
	// An urgent change must not publish unfinished work of the folder, nor
	// revert what another operator published from another copy of it.
	if others := s.others(file); len(others) > 0 && !c.all {
		return refused(fmt.Sprintf("the folder differs from revision %d in %s too; apply that first or give --all",
			s.plan.Base.Head.GetRevision(), strings.Join(others, ", ")))
	}
	return c.apply(ctx, s, func() error { return write(filepath.Join(c.dir, file), data) })
}

func (s *step) others(file string) []string {
	all := slices.Concat(s.plan.Added, s.plan.Changed, s.plan.Removed)
	return slices.DeleteFunc(all, func(n string) bool { return n == file })
}

// write replaces a file as a whole, so that a crash leaves the old or the new.
func write(path string, data []byte) error {
	fail := func(err error) error {
		return toucanfault.NotRun(toucanpb.Code_CODE_INTERNAL, "the change was published, but "+path+" could not be written").Because(err)
	}
	t, err := os.CreateTemp(filepath.Dir(path), ".out-*")
	if err != nil {
		return fail(err)
	}
	defer os.Remove(t.Name()) //nolint:errcheck // it is gone after the rename
	mode := os.FileMode(0o644)
	if info, err := os.Stat(path); err == nil {
		mode = info.Mode().Perm()
	}
	_, err = t.Write(data)
	if end := t.Close(); err == nil {
		err = end
	}
	if err == nil {
		err = os.Chmod(t.Name(), mode)
	}
	if err == nil {
		err = os.Rename(t.Name(), path)
	}
	if err != nil {
		return fail(err)
	}
	return nil
}

// edit returns the file that decides the list out, which is the last that has
// the key or out.yaml, with name added or removed; its comments are kept.
func edit(files map[string][]byte, name string, out bool) (string, []byte, error) {
	file := outFile
	for _, n := range slices.Sorted(maps.Keys(files)) {
		var keys map[string]yaml.Node
		if yaml.Unmarshal(files[n], &keys) == nil {
			if _, has := keys[outKey]; has {
				file = n
			}
		}
	}
	var doc yaml.Node
	if err := yaml.Unmarshal(files[file], &doc); err != nil {
		return "", nil, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, file).Because(err)
	}
	if doc.Kind == 0 || len(doc.Content) == 0 || doc.Content[0].Kind != yaml.MappingNode {
		doc = yaml.Node{Kind: yaml.DocumentNode, Content: []*yaml.Node{{Kind: yaml.MappingNode}}}
	}
	list := outList(doc.Content[0])
	at := slices.IndexFunc(list.Content, func(n *yaml.Node) bool { return n.Value == name })
	switch {
	case out == (at >= 0):
		return file, files[file], nil
	case out:
		list.Content = append(list.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: name})
	default:
		list.Content = slices.Delete(list.Content, at, at+1)
	}
	var b bytes.Buffer
	e := yaml.NewEncoder(&b)
	e.SetIndent(2)
	if err := e.Encode(&doc); err != nil {
		return "", nil, toucanfault.NotRun(toucanpb.Code_CODE_INTERNAL, file).Because(err)
	}
	return file, b.Bytes(), nil
}

// outList returns the list out of a file's mapping, and adds it if needed.
func outList(m *yaml.Node) *yaml.Node {
	for i := 0; i+1 < len(m.Content); i += 2 {
		if m.Content[i].Value == outKey {
			return m.Content[i+1]
		}
	}
	list := &yaml.Node{Kind: yaml.SequenceNode, Style: yaml.FlowStyle}
	m.Content = append(m.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: outKey}, list)
	return list
}
