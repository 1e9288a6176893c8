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

// The key of the list of zones out of service, and the file to which the list is
// added if no file of the folder has it.
const (
	outKey         = "out"
	defaultOutFile = "out.yaml"
)

func (c *Command) zoneCommand() *cobra.Command {
	newSubcommand := func(use, short string, out bool) *cobra.Command {
		cmd := &cobra.Command{Use: use + " NAME", Short: short, Args: cobra.ExactArgs(1),
			RunE: c.runWithTimeout(func(ctx context.Context, args []string) error { return c.zone(ctx, args[0], out) })}
		cmd.Flags().StringVar(&c.dir, "dir", ".", "configuration folder")
		cmd.Flags().BoolVar(&c.allowOtherChanges, "all", false, "publish other changes of the folder too")
		c.addPublishFlags(cmd)
		return cmd
	}
	return group("zone", "Take a zone out of service or in again",
		newSubcommand("out", "Take a zone out of service", true), newSubcommand("in", "Take a zone in again", false))
}

// zone adds or removes a zone in the list "out" of a copy of the folder and
// publishes the copy. It writes the edited file to the folder only if the change
// took effect or may have; after a conflict or failure the folder is unchanged.
func (c *Command) zone(ctx context.Context, name string, out bool) error {
	folder, err := toucanfolder.Open(c.dir)
	if err != nil {
		return err
	}
	// Validate before editing, so that line numbers refer to the files on disk.
	if err := c.reportProblems(folder.Problems(), false); err != nil {
		return err
	}
	files := maps.Clone(folder.Files())
	file, data, err := editOutList(files, name, out)
	if err != nil {
		return err
	}
	files[file] = data
	change, err := c.plan(ctx, toucanfolder.New(files, folder))
	if err != nil {
		return err
	}
	// Taking a zone out is urgent: it must not also publish unfinished edits in
	// the folder, or revert what another operator published from another copy.
	if others := change.otherFiles(file); len(others) > 0 && !c.allowOtherChanges {
		return refused(fmt.Sprintf("the folder differs from revision %d in %s too; apply that first or give --all",
			change.plan.Base.Head.GetRevision(), strings.Join(others, ", ")))
	}
	return c.apply(ctx, change, func() error { return replaceFile(filepath.Join(c.dir, file), data) })
}

// otherFiles returns the files that the change touches apart from file.
func (p *plannedChange) otherFiles(file string) []string {
	all := slices.Concat(p.plan.Added, p.plan.Changed, p.plan.Removed)
	return slices.DeleteFunc(all, func(n string) bool { return n == file })
}

// replaceFile replaces a file atomically by a rename, so that a crash leaves
// either the old content or the new. It keeps the file's mode; a new file gets
// 0644.
func replaceFile(path string, data []byte) error {
	fail := func(err error) error {
		return toucanfault.NotRun(toucanpb.Code_CODE_INTERNAL, "the change was published, but "+path+" could not be written").Because(err)
	}
	temp, err := os.CreateTemp(filepath.Dir(path), ".out-*")
	if err != nil {
		return fail(err)
	}
	defer os.Remove(temp.Name()) //nolint:errcheck // fails after the rename, when the file no longer exists
	mode := os.FileMode(0o644)
	if info, err := os.Stat(path); err == nil {
		mode = info.Mode().Perm()
	}
	_, err = temp.Write(data)
	if closeErr := temp.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Chmod(temp.Name(), mode)
	}
	if err == nil {
		err = os.Rename(temp.Name(), path)
	}
	if err != nil {
		return fail(err)
	}
	return nil
}

// editOutList adds name to the list "out" or removes it, and returns the name and
// content of the edited file. The file is the last one by name that has the key
// "out", because it overrides the others, or out.yaml if there is none. Comments
// are kept.
func editOutList(files map[string][]byte, name string, out bool) (string, []byte, error) {
	file := defaultOutFile
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
	list := findOrAddOutList(doc.Content[0])
	index := slices.IndexFunc(list.Content, func(n *yaml.Node) bool { return n.Value == name })
	switch {
	case out == (index >= 0):
		return file, files[file], nil
	case out:
		list.Content = append(list.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: name})
	default:
		list.Content = slices.Delete(list.Content, index, index+1)
	}
	var b bytes.Buffer
	e := yaml.NewEncoder(&b)
	e.SetIndent(2)
	if err := e.Encode(&doc); err != nil {
		return "", nil, toucanfault.NotRun(toucanpb.Code_CODE_INTERNAL, file).Because(err)
	}
	return file, b.Bytes(), nil
}

// findOrAddOutList returns the list under the key "out" of m, and adds an empty
// one if the key is missing.
func findOrAddOutList(m *yaml.Node) *yaml.Node {
	for i := 0; i+1 < len(m.Content); i += 2 {
		if m.Content[i].Value == outKey {
			return m.Content[i+1]
		}
	}
	list := &yaml.Node{Kind: yaml.SequenceNode, Style: yaml.FlowStyle}
	m.Content = append(m.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: outKey}, list)
	return list
}
