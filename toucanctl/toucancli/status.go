package toucancli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanfolder"
	"toucanstair.example/core/toucanhead"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanctl/toucanfleet"
)

func (c *Command) statusCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "status", Short: "Show the published revision and that of each host", Args: cobra.NoArgs,
		RunE: c.run(func(ctx context.Context, _ []string) error { return c.status(ctx) })}
	cmd.Flags().StringSliceVar(&c.hosts, "hosts", nil, "operators' addresses of hosts, ip:port, separated by commas")
	return cmd
}

type fleetStatus struct {
	Revision uint64             `json:"revision"`
	Change   string             `json:"change,omitempty"`
	Author   string             `json:"author,omitempty"`
	In       []string           `json:"in"`
	Out      []string           `json:"out"`
	Hosts    []toucanfleet.Host `json:"hosts"`
	Lagging  []string           `json:"lagging"`
	Silent   []string           `json:"silent"`
	Error    string             `json:"error,omitempty"`
}

func (c *Command) status(ctx context.Context) error {
	s := &fleetStatus{In: []string{}, Out: []string{}, Hosts: []toucanfleet.Host{}, Lagging: []string{}, Silent: []string{}}
	if err := c.published(ctx, s); err != nil {
		s.Error = err.Error()
	}
	fleet := &toucanfleet.Fleet{Addresses: c.hosts}
	s.Hosts = append(s.Hosts, fleet.FetchStates(ctx)...)
	newest := s.Revision
	for _, h := range s.Hosts {
		newest = max(newest, h.Revision)
	}
	for _, h := range s.Hosts {
		switch {
		case h.Error != "":
			s.Silent = append(s.Silent, h.Address)
		case h.Revision < newest:
			s.Lagging = append(s.Lagging, h.Host)
		}
	}
	c.print(s, s.text)
	if s.Error != "" || len(s.Lagging)+len(s.Silent) > 0 {
		return ended(ExitFailed, nil)
	}
	return nil
}

// published fills in what the store says.
func (c *Command) published(ctx context.Context, s *fleetStatus) error {
	head, err := c.head()
	if err != nil {
		return err
	}
	now, err := head.Current(ctx)
	if err != nil {
		return err
	}
	s.Revision, s.Author, s.Change = now.Head.GetRevision(), now.Head.GetAuthor(), toucanhead.ChangeID(now.Head)
	rules, err := rules(ctx, head, now.Head)
	for _, z := range rules.GetZones() {
		if z.GetOut() {
			s.Out = append(s.Out, z.GetName())
		} else {
			s.In = append(s.In, z.GetName())
		}
	}
	return err
}

func rules(ctx context.Context, h *toucanhead.Publisher, head *toucanpb.Head) (*toucanpb.Rules, error) {
	files, err := h.Files(ctx, head)
	if err != nil {
		return nil, err
	}
	return toucanfolder.New(files, nil).Rules(head.GetRevision())
}

func (s *fleetStatus) text(w io.Writer) {
	if s.Error != "" {
		fmt.Fprintf(w, "published: not known: %s\n", s.Error)
	} else {
		fmt.Fprintf(w, "published: revision %d by %s, change %s\n", s.Revision, s.Author, s.Change)
		fmt.Fprintf(w, "zones in: %v\nzones out: %v\n", s.In, s.Out)
	}
	if len(s.Hosts) == 0 {
		return
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "HOST\tZONE\tREVISION\tAGE\tVIEW\tLEASE")
	for _, h := range s.Hosts {
		if h.Error == "" {
			fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%d\t%s\n", h.Host, h.Zone, h.Revision, h.Age, h.View.Number, h.Lease)
		} else {
			fmt.Fprintf(t, "%s\t%s\n", h.Address, h.Error)
		}
	}
	// The writer fails only as w does, as for the other lines.
	_ = t.Flush()
	fmt.Fprintf(w, "lagging: %v\nnot reached: %v\n", s.Lagging, s.Silent)
}

func (c *Command) moveCommand() *cobra.Command {
	return group("move", "Follow moves to new versions", &cobra.Command{
		Use: "status NAME", Short: "Show the state of a move", Args: cobra.ExactArgs(1),
		RunE: c.run(func(ctx context.Context, args []string) error { return c.moveStatus(ctx, args[0]) }),
	})
}

func (c *Command) moveStatus(ctx context.Context, name string) error {
	head, err := c.head()
	if err != nil {
		return err
	}
	e, err := head.Store.Get(ctx, moveKey+name)
	if err != nil {
		return err
	}
	s := &toucanpb.MoveState{Name: name}
	if err := proto.Unmarshal(e.GetValue(), s); err != nil {
		return toucanfault.NotRun(toucanpb.Code_CODE_STORE, "state of move "+name).Because(err)
	}
	words := map[toucanpb.MoveState_Phase]string{
		toucanpb.MoveState_PHASE_UNSPECIFIED: "waiting", toucanpb.MoveState_PHASE_RUNNING: "running",
		toucanpb.MoveState_PHASE_DONE: "done", toucanpb.MoveState_PHASE_BACK: "back", toucanpb.MoveState_PHASE_LATE: "late",
	}
	if e == nil {
		// The leader writes the key a moment after the move was published.
		if err := c.isPublished(ctx, head, name); err != nil {
			return err
		}
	}
	c.print(map[string]any{"name": name, "phase": words[s.GetPhase()], "stage": s.GetStage(), "reason": s.GetReason()},
		func(w io.Writer) {
			fmt.Fprintf(w, "%s: %s, stage %d", name, words[s.GetPhase()], s.GetStage())
			if s.GetReason() != "" {
				fmt.Fprintf(w, ": %s", s.GetReason())
			}
			fmt.Fprintln(w)
		})
	switch s.GetPhase() {
	case toucanpb.MoveState_PHASE_DONE:
		return nil
	case toucanpb.MoveState_PHASE_BACK:
		return ended(ExitRolledBack, nil)
	case toucanpb.MoveState_PHASE_LATE:
		return ended(ExitFailed, nil)
	}
	return ended(ExitInProgress, nil)
}

func (c *Command) isPublished(ctx context.Context, head *toucanhead.Publisher, name string) error {
	now, err := head.Current(ctx)
	if err != nil {
		return err
	}
	r, err := rules(ctx, head, now.Head)
	if err != nil {
		return err
	}
	for _, m := range r.GetMoves() {
		if m.GetName() == name {
			return nil
		}
	}
	return refused("no move named " + name)
}
