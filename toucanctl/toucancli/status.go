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
		RunE: c.runWithTimeout(func(ctx context.Context, _ []string) error { return c.status(ctx) })}
	cmd.Flags().StringSliceVar(&c.hostAddresses, "hosts", nil, "operators' addresses of hosts, ip:port, separated by commas")
	return cmd
}

// fleetStatus is the output of the status command: the published revision and
// the state of each host. Lagging lists the names of hosts with an older revision
// than the newest one seen in the store or on any host. Unreachable lists the
// addresses of hosts that did not report a state. Error is the reason why the
// published configuration could not be read.
type fleetStatus struct {
	Revision    uint64             `json:"revision"`
	Change      string             `json:"change,omitempty"`
	Author      string             `json:"author,omitempty"`
	ZonesIn     []string           `json:"in"`
	ZonesOut    []string           `json:"out"`
	Hosts       []toucanfleet.Host `json:"hosts"`
	Lagging     []string           `json:"lagging"`
	Unreachable []string           `json:"silent"`
	Error       string             `json:"error,omitempty"`
}

func (c *Command) status(ctx context.Context) error {
	s := &fleetStatus{ZonesIn: []string{}, ZonesOut: []string{}, Hosts: []toucanfleet.Host{}, Lagging: []string{}, Unreachable: []string{}}
	if err := c.fetchPublished(ctx, s); err != nil {
		s.Error = err.Error()
	}
	fleet := &toucanfleet.Fleet{Addresses: c.hostAddresses}
	s.Hosts = append(s.Hosts, fleet.FetchStates(ctx)...)
	newestRevision := s.Revision
	for _, h := range s.Hosts {
		newestRevision = max(newestRevision, h.Revision)
	}
	for _, h := range s.Hosts {
		switch {
		case h.Error != "":
			s.Unreachable = append(s.Unreachable, h.Address)
		case h.Revision < newestRevision:
			s.Lagging = append(s.Lagging, h.Host)
		}
	}
	c.printResult(s, s.writeText)
	if s.Error != "" || len(s.Lagging)+len(s.Unreachable) > 0 {
		return exitWith(ExitFailed, nil)
	}
	return nil
}

// fetchPublished reads the published revision and its zones from the store into s.
func (c *Command) fetchPublished(ctx context.Context, s *fleetStatus) error {
	publisher, err := c.publisher()
	if err != nil {
		return err
	}
	current, err := publisher.Current(ctx)
	if err != nil {
		return err
	}
	s.Revision, s.Author, s.Change = current.Head.GetRevision(), current.Head.GetAuthor(), toucanhead.ChangeID(current.Head)
	rules, err := loadRules(ctx, publisher, current.Head)
	for _, z := range rules.GetZones() {
		if z.GetOut() {
			s.ZonesOut = append(s.ZonesOut, z.GetName())
		} else {
			s.ZonesIn = append(s.ZonesIn, z.GetName())
		}
	}
	return err
}

// loadRules reads the published files of head and parses them.
func loadRules(ctx context.Context, publisher *toucanhead.Publisher, head *toucanpb.Head) (*toucanpb.Rules, error) {
	files, err := publisher.Files(ctx, head)
	if err != nil {
		return nil, err
	}
	return toucanfolder.New(files, nil).Rules(head.GetRevision())
}

func (s *fleetStatus) writeText(w io.Writer) {
	if s.Error != "" {
		fmt.Fprintf(w, "published: not known: %s\n", s.Error)
	} else {
		fmt.Fprintf(w, "published: revision %d by %s, change %s\n", s.Revision, s.Author, s.Change)
		fmt.Fprintf(w, "zones in: %v\nzones out: %v\n", s.ZonesIn, s.ZonesOut)
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
	// Flush returns only errors of w, which the other writes ignore as well.
	_ = t.Flush()
	fmt.Fprintf(w, "lagging: %v\nnot reached: %v\n", s.Lagging, s.Unreachable)
}

func (c *Command) moveCommand() *cobra.Command {
	return group("move", "Show rollouts (moves to new versions)", &cobra.Command{
		Use: "status NAME", Short: "Show the state of a move", Args: cobra.ExactArgs(1),
		RunE: c.runWithTimeout(func(ctx context.Context, args []string) error { return c.moveStatus(ctx, args[0]) }),
	})
}

// moveStatus prints the phase of a move and returns an error with the exit code for
// that phase, or nil if the move is done. Phase back means rolled back, late means
// that the deadline passed before the move was done.
func (c *Command) moveStatus(ctx context.Context, name string) error {
	publisher, err := c.publisher()
	if err != nil {
		return err
	}
	entry, err := publisher.Store.Get(ctx, moveKeyPrefix+name)
	if err != nil {
		return err
	}
	state := &toucanpb.MoveState{Name: name}
	if err := proto.Unmarshal(entry.GetValue(), state); err != nil {
		return toucanfault.NotRun(toucanpb.Code_CODE_STORE, "decoding the state of move "+name).Because(err)
	}
	phaseNames := map[toucanpb.MoveState_Phase]string{
		toucanpb.MoveState_PHASE_UNSPECIFIED: "waiting", toucanpb.MoveState_PHASE_RUNNING: "running",
		toucanpb.MoveState_PHASE_DONE: "done", toucanpb.MoveState_PHASE_BACK: "back", toucanpb.MoveState_PHASE_LATE: "late",
	}
	if entry == nil {
		// The leader (the host that advances the move's stages) writes the key
		// shortly after the move was published, so a published move without a
		// key is still waiting.
		if err := c.checkMovePublished(ctx, publisher, name); err != nil {
			return err
		}
	}
	c.printResult(map[string]any{"name": name, "phase": phaseNames[state.GetPhase()], "stage": state.GetStage(), "reason": state.GetReason()},
		func(w io.Writer) {
			fmt.Fprintf(w, "%s: %s, stage %d", name, phaseNames[state.GetPhase()], state.GetStage())
			if state.GetReason() != "" {
				fmt.Fprintf(w, ": %s", state.GetReason())
			}
			fmt.Fprintln(w)
		})
	switch state.GetPhase() {
	case toucanpb.MoveState_PHASE_DONE:
		return nil
	case toucanpb.MoveState_PHASE_BACK:
		return exitWith(ExitRolledBack, nil)
	case toucanpb.MoveState_PHASE_LATE:
		return exitWith(ExitFailed, nil)
	}
	return exitWith(ExitInProgress, nil)
}

// checkMovePublished returns an error if the published configuration has no move
// of that name.
func (c *Command) checkMovePublished(ctx context.Context, publisher *toucanhead.Publisher, name string) error {
	current, err := publisher.Current(ctx)
	if err != nil {
		return err
	}
	published, err := loadRules(ctx, publisher, current.Head)
	if err != nil {
		return err
	}
	for _, m := range published.GetMoves() {
		if m.GetName() == name {
			return nil
		}
	}
	return refused("no move named " + name)
}
