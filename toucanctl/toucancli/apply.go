package toucancli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanfolder"
	"toucanstair.example/core/toucanhead"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanctl/toucandiff"
)

// moveKey is the prefix of the keys of move states.
const moveKey = "move/"

func (c *Command) checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check DIR", Short: "Report every mistake in a folder", Args: cobra.ExactArgs(1),
		RunE: c.run(func(_ context.Context, args []string) error {
			f, err := toucanfolder.Open(args[0])
			if err != nil {
				return err
			}
			return c.sound(f.ProblemsToPublish(time.Now(), nil), true)
		})}
}

func (c *Command) diffCommand() *cobra.Command {
	return &cobra.Command{Use: "diff DIR", Short: "Compare a folder with the published configuration", Args: cobra.ExactArgs(1),
		RunE: c.run(func(ctx context.Context, args []string) error {
			f, err := toucanfolder.Open(args[0])
			if err != nil {
				return err
			}
			s, err := c.plan(ctx, f)
			if err != nil {
				return err
			}
			c.print(s.report("planned", 0), s.text)
			return nil
		})}
}

func (c *Command) applyCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "apply DIR", Short: "Publish a folder", Args: cobra.ExactArgs(1),
		RunE: c.run(func(ctx context.Context, args []string) error {
			f, err := toucanfolder.Open(args[0])
			if err != nil {
				return err
			}
			s, err := c.plan(ctx, f)
			if err != nil {
				return err
			}
			return c.apply(ctx, s, nil)
		})}
	c.writeFlags(cmd)
	return cmd
}

// sound prints the mistakes of a folder; success is printed when asked for.
func (c *Command) sound(found []toucanfolder.Problem, always bool) error {
	type problem struct {
		File string `json:"file"`
		Line int    `json:"line"`
		Text string `json:"text"`
	}
	list := make([]problem, 0, len(found))
	for _, p := range found {
		list = append(list, problem{p.File, p.Line, p.Text})
	}
	if len(list) > 0 || always {
		c.print(map[string]any{"problems": list}, func(w io.Writer) {
			for _, p := range found {
				fmt.Fprintln(w, p)
			}
			if len(found) == 0 {
				fmt.Fprintln(w, "no problems")
			}
		})
	}
	if len(list) > 0 {
		return ended(ExitFailed, nil)
	}
	return nil
}

// step is a planned change with what it means.
type step struct {
	head    *toucanhead.Publisher
	plan    *toucanhead.Plan
	changes []toucandiff.Change
}

// plan checks a folder against the published configuration. A published
// configuration that cannot be loaded does not keep a sound one from replacing
// it; the diff then shows every value as added.
func (c *Command) plan(ctx context.Context, f *toucanfolder.Folder) (*step, error) {
	head, err := c.head()
	if err != nil {
		return nil, err
	}
	p, err := head.Plan(ctx, f.Files(), c.name())
	if err != nil {
		return nil, err
	}
	if c.on != 0 && p.Base.Head.GetRevision() != c.on {
		return nil, ended(ExitConflict, toucanfault.NotRun(toucanpb.Code_CODE_CONFLICT,
			fmt.Sprintf("revision %d by %s is published, not %d", p.Base.Head.GetRevision(), p.Base.Head.GetAuthor(), c.on)))
	}
	var published *toucanpb.Rules
	if p.Base.Head != nil {
		files, err := head.Files(ctx, p.Base.Head)
		if err == nil {
			published, err = toucanfolder.New(files, f).Rules(p.Base.Head.GetRevision())
		}
		if err != nil {
			fmt.Fprintln(c.Err, "toucanctl: the published configuration is not usable:", err)
		}
	}
	if err := c.sound(f.ProblemsToPublish(time.Now(), published), false); err != nil {
		return nil, err
	}
	rules, err := f.RulesToPublish(time.Now(), published)
	if err != nil {
		return nil, err
	}
	if err := c.unused(ctx, head.Store, published, rules); err != nil {
		return nil, err
	}
	return &step{head, p, toucandiff.Between(published, rules)}, nil
}

// unused refuses a new move with the name of an earlier one: a rollback is
// irreversible for its name, so such a move would end at once.
func (c *Command) unused(ctx context.Context, s toucanhead.Store, published, rules *toucanpb.Rules) error {
	known := map[string]bool{}
	for _, m := range published.GetMoves() {
		known[m.GetName()] = true
	}
	for _, m := range rules.GetMoves() {
		if known[m.GetName()] {
			continue
		}
		e, err := s.Get(ctx, moveKey+m.GetName())
		if err != nil {
			return err
		}
		if e != nil {
			return refused(fmt.Sprintf("the move name %q was used before; choose another", m.GetName()))
		}
	}
	return nil
}

type report struct {
	Result   string              `json:"result"`
	On       uint64              `json:"on"`
	Revision uint64              `json:"revision,omitempty"`
	Author   string              `json:"author,omitempty"`
	Added    []string            `json:"added,omitempty"`
	Changed  []string            `json:"changed,omitempty"`
	Removed  []string            `json:"removed,omitempty"`
	Values   []toucandiff.Change `json:"values,omitempty"`
}

func (s *step) report(result string, revision uint64) report {
	return report{
		Result: result, On: s.plan.Base.Head.GetRevision(), Revision: revision,
		Added: s.plan.Added, Changed: s.plan.Changed, Removed: s.plan.Removed, Values: s.changes,
	}
}

func (s *step) text(w io.Writer) {
	fmt.Fprintf(w, "on revision %d\n", s.plan.Base.Head.GetRevision())
	for _, l := range []struct {
		word  string
		names []string
	}{{"added", s.plan.Added}, {"changed", s.plan.Changed}, {"removed", s.plan.Removed}} {
		for _, n := range l.names {
			fmt.Fprintf(w, "file %s %s\n", l.word, n)
		}
	}
	for _, v := range s.changes {
		fmt.Fprintln(w, v)
	}
	if s.plan.Empty() {
		fmt.Fprintln(w, "no changes")
	}
}

// apply publishes a step and reports its end; save, if any, is called when the
// change took effect or may do so.
func (c *Command) apply(ctx context.Context, s *step, save func() error) error {
	if c.output == "text" {
		s.text(c.Out)
	}
	if s.plan.Empty() {
		c.print(s.report("unchanged", s.plan.Base.Head.GetRevision()), func(io.Writer) {})
		return nil
	}
	r := s.head.Apply(ctx, s.plan)
	out := s.report(r.Phase.String(), r.Revision)
	out.Author = r.Author
	var saved error
	if save != nil && (r.Phase == toucanhead.Done || r.Phase == toucanhead.Unknown) {
		saved = save()
	}
	detail := ""
	if r.Err != nil {
		detail = ": " + r.Err.Error()
	}
	switch r.Phase {
	case toucanhead.Done:
		s.head.DeleteReplacedBlobs(ctx, s.plan)
		c.print(out, func(w io.Writer) { fmt.Fprintf(w, "done at revision %d\n", r.Revision) })
		return saved
	case toucanhead.Lost:
		c.print(out, func(w io.Writer) { fmt.Fprintf(w, "lost the race to revision %d by %s\n", r.Revision, r.Author) })
		return ended(ExitConflict, nil)
	case toucanhead.Unknown:
		c.print(out, func(w io.Writer) {
			fmt.Fprintf(w, "outcome unknown%s\nrun status to see whether change %s took effect\n", detail, toucanhead.ChangeID(s.plan.Next))
		})
		return ended(ExitOutcomeUnknown, saved)
	}
	c.print(out, func(w io.Writer) { fmt.Fprintf(w, "failed, nothing published%s\n", detail) })
	return ended(ExitFailed, nil)
}
