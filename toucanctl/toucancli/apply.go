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

// moveKeyPrefix followed by the name of a move (a service's rollout to a new
// version) is the store key of its state.
const moveKeyPrefix = "move/"

func (c *Command) checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check DIR", Short: "Report all problems in a folder", Args: cobra.ExactArgs(1),
		RunE: c.runWithTimeout(func(_ context.Context, args []string) error {
			f, err := toucanfolder.Open(args[0])
			if err != nil {
				return err
			}
			return c.reportProblems(f.ProblemsToPublish(time.Now(), nil), true)
		})}
}

func (c *Command) diffCommand() *cobra.Command {
	return &cobra.Command{Use: "diff DIR", Short: "Compare a folder with the published configuration", Args: cobra.ExactArgs(1),
		RunE: c.runWithTimeout(func(ctx context.Context, args []string) error {
			f, err := toucanfolder.Open(args[0])
			if err != nil {
				return err
			}
			change, err := c.plan(ctx, f)
			if err != nil {
				return err
			}
			c.printResult(change.report("planned", 0), change.writeText)
			return nil
		})}
}

func (c *Command) applyCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "apply DIR", Short: "Publish a folder", Args: cobra.ExactArgs(1),
		RunE: c.runWithTimeout(func(ctx context.Context, args []string) error {
			f, err := toucanfolder.Open(args[0])
			if err != nil {
				return err
			}
			change, err := c.plan(ctx, f)
			if err != nil {
				return err
			}
			return c.apply(ctx, change, nil)
		})}
	c.addPublishFlags(cmd)
	return cmd
}

// reportProblems prints the problems of a folder and returns an error if there
// are any. With printSuccess it also prints that there are none.
func (c *Command) reportProblems(problems []toucanfolder.Problem, printSuccess bool) error {
	type problem struct {
		File string `json:"file"`
		Line int    `json:"line"`
		Text string `json:"text"`
	}
	list := make([]problem, 0, len(problems))
	for _, p := range problems {
		list = append(list, problem{p.File, p.Line, p.Text})
	}
	if len(list) > 0 || printSuccess {
		c.printResult(map[string]any{"problems": list}, func(w io.Writer) {
			for _, p := range problems {
				fmt.Fprintln(w, p)
			}
			if len(problems) == 0 {
				fmt.Fprintln(w, "no problems")
			}
		})
	}
	if len(list) > 0 {
		return exitWith(ExitFailed, nil)
	}
	return nil
}

// plannedChange is a planned publication of a folder, with the changes that it
// makes to the effective configuration.
type plannedChange struct {
	publisher *toucanhead.Publisher
	plan      *toucanhead.Plan
	changes   []toucandiff.Change
}

// plan validates a folder and compares it with the published configuration. If
// the published one cannot be loaded, a valid folder can still replace it; the
// diff then shows every value as added.
func (c *Command) plan(ctx context.Context, folder *toucanfolder.Folder) (*plannedChange, error) {
	publisher, err := c.publisher()
	if err != nil {
		return nil, err
	}
	plan, err := publisher.Plan(ctx, folder.Files(), c.authorName())
	if err != nil {
		return nil, err
	}
	if c.expectedRevision != 0 && plan.Base.Head.GetRevision() != c.expectedRevision {
		return nil, exitWith(ExitConflict, toucanfault.NotRun(toucanpb.Code_CODE_CONFLICT,
			fmt.Sprintf("revision %d by %s is published, not %d", plan.Base.Head.GetRevision(), plan.Base.Head.GetAuthor(), c.expectedRevision)))
	}
	var published *toucanpb.Rules
	if plan.Base.Head != nil {
		files, err := publisher.Files(ctx, plan.Base.Head)
		if err == nil {
			published, err = toucanfolder.New(files, folder).Rules(plan.Base.Head.GetRevision())
		}
		if err != nil {
			fmt.Fprintln(c.Err, "toucanctl: the published configuration is not usable:", err)
		}
	}
	if err := c.reportProblems(folder.ProblemsToPublish(time.Now(), published), false); err != nil {
		return nil, err
	}
	rules, err := folder.RulesToPublish(time.Now(), published)
	if err != nil {
		return nil, err
	}
	if err := c.checkMoveNames(ctx, publisher.Store, published, rules); err != nil {
		return nil, err
	}
	return &plannedChange{publisher, plan, toucandiff.Between(published, rules)}, nil
}

// checkMoveNames refuses a new move that has the name of an earlier one. The
// stored state of the earlier move would apply to it: a rollback is final for its
// name, so the new move would end at once. A move in the published configuration
// is not new.
func (c *Command) checkMoveNames(ctx context.Context, store toucanhead.Store, published, rules *toucanpb.Rules) error {
	publishedNames := map[string]bool{}
	for _, m := range published.GetMoves() {
		publishedNames[m.GetName()] = true
	}
	for _, m := range rules.GetMoves() {
		if publishedNames[m.GetName()] {
			continue
		}
		entry, err := store.Get(ctx, moveKeyPrefix+m.GetName())
		if err != nil {
			return err
		}
		if entry != nil {
			return refused(fmt.Sprintf("the move name %q was used before; choose another", m.GetName()))
		}
	}
	return nil
}

// report is the JSON output of diff, apply and zone. BaseRevision is the published
// revision that the change was planned against. Added, Changed and Removed are
// names of files; Values are the changes to the effective configuration.
type report struct {
	Result       string              `json:"result"`
	BaseRevision uint64              `json:"on"`
	Revision     uint64              `json:"revision,omitempty"`
	Author       string              `json:"author,omitempty"`
	Added        []string            `json:"added,omitempty"`
	Changed      []string            `json:"changed,omitempty"`
	Removed      []string            `json:"removed,omitempty"`
	Values       []toucandiff.Change `json:"values,omitempty"`
}

func (p *plannedChange) report(result string, revision uint64) report {
	return report{
		Result: result, BaseRevision: p.plan.Base.Head.GetRevision(), Revision: revision,
		Added: p.plan.Added, Changed: p.plan.Changed, Removed: p.plan.Removed, Values: p.changes,
	}
}

func (p *plannedChange) writeText(w io.Writer) {
	fmt.Fprintf(w, "on revision %d\n", p.plan.Base.Head.GetRevision())
	for _, l := range []struct {
		label string
		names []string
	}{{"added", p.plan.Added}, {"changed", p.plan.Changed}, {"removed", p.plan.Removed}} {
		for _, n := range l.names {
			fmt.Fprintf(w, "file %s %s\n", l.label, n)
		}
	}
	for _, v := range p.changes {
		fmt.Fprintln(w, v)
	}
	if p.plan.Empty() {
		fmt.Fprintln(w, "no changes")
	}
}

// apply publishes a planned change and prints the result. If the change took
// effect or may have, apply calls save, which may be nil.
func (c *Command) apply(ctx context.Context, change *plannedChange, save func() error) error {
	if c.output == "text" {
		change.writeText(c.Out)
	}
	if change.plan.Empty() {
		c.printResult(change.report("unchanged", change.plan.Base.Head.GetRevision()), func(io.Writer) {})
		return nil
	}
	result := change.publisher.Apply(ctx, change.plan)
	applyReport := change.report(result.Phase.String(), result.Revision)
	applyReport.Author = result.Author
	var saveErr error
	if save != nil && (result.Phase == toucanhead.Done || result.Phase == toucanhead.Unknown) {
		saveErr = save()
	}
	detail := ""
	if result.Err != nil {
		detail = ": " + result.Err.Error()
	}
	switch result.Phase {
	case toucanhead.Done:
		change.publisher.DeleteReplacedBlobs(ctx, change.plan)
		c.printResult(applyReport, func(w io.Writer) { fmt.Fprintf(w, "done at revision %d\n", result.Revision) })
		return saveErr
	case toucanhead.Lost:
		c.printResult(applyReport, func(w io.Writer) {
			fmt.Fprintf(w, "lost the race to revision %d by %s\n", result.Revision, result.Author)
		})
		return exitWith(ExitConflict, nil)
	case toucanhead.Unknown:
		c.printResult(applyReport, func(w io.Writer) {
			fmt.Fprintf(w, "outcome unknown%s\nrun status to see whether change %s took effect\n", detail, toucanhead.ChangeID(change.plan.Next))
		})
		return exitWith(ExitOutcomeUnknown, saveErr)
	}
	c.printResult(applyReport, func(w io.Writer) { fmt.Fprintf(w, "failed, nothing published%s\n", detail) })
	return exitWith(ExitFailed, nil)
}
