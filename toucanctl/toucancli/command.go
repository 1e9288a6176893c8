// Package toucancli holds the operators' commands.
//
// Exit codes: 0 done, 1 failed or refused, 2 usage, 3 lost a race against
// another operator, 4 outcome unknown, 5 move still in progress, 6 move taken
// back. status exits with 1 when a host lags or was not reached, or the store
// was not read; move status exits with 1 for a move that is late.
package toucancli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanhead"
	"toucanstair.example/core/toucanpb"
)

// Exit codes.
const (
	ExitDone = iota
	ExitFailed
	ExitUsage
	ExitConflict
	ExitOutcomeUnknown
	ExitInProgress
	ExitRolledBack
)

const (
	environment    = "TOUCANCTL_"
	defaultTimeout = 30 * time.Second
)

// Store is the part of the platform's store that the commands use.
type Store interface {
	Get(ctx context.Context, key string) (*toucanpb.Entry, error)
	Put(ctx context.Context, key string, value []byte, prev uint64, lease string) (uint64, error)
	Delete(ctx context.Context, key string, prev uint64) error
}

// Command is the command line. All fields are needed.
type Command struct {
	// Open connects to the store at an address, at the first use.
	Open     func(address string) (Store, error)
	Out, Err io.Writer

	store   string
	author  string
	output  string
	timeout time.Duration
	dir     string
	hosts   []string
	floor   uint64
	on      uint64
	all     bool
}

// ending is the end of a command that was understood, with its exit code.
type ending struct {
	code  int
	cause error
}

func (e *ending) Error() string {
	if e.cause == nil {
		return ""
	}
	return e.cause.Error()
}

func (e *ending) Unwrap() error { return e.cause }

func ended(code int, cause error) error { return &ending{code, cause} }

func refused(detail string) error {
	return ended(ExitFailed, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, detail))
}

// Run executes args and returns the exit code.
func (c *Command) Run(ctx context.Context, args []string) int {
	root := c.root()
	root.SetArgs(args)
	root.SetOut(c.Out)
	root.SetErr(c.Err)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitDone
	}
	code := ExitUsage
	var e *ending
	if errors.As(err, &e) {
		code = e.code
	}
	if text := err.Error(); text != "" {
		if c.output == "json" {
			c.json(map[string]any{"error": text, "code": code})
		}
		fmt.Fprintln(c.Err, "toucanctl:", text)
	}
	return code
}

func (c *Command) root() *cobra.Command {
	root := &cobra.Command{
		Use:   "toucanctl",
		Short: "Check, publish and follow the configuration of toucanstair",
		Long: "Check, publish and follow the configuration of toucanstair.\n\n" +
			"Every flag can be set by an environment variable, TOUCANCTL_ and its name in capitals.\n\n" +
			"Exit codes: 0 done, 1 failed or refused, 2 usage, 3 lost a race, 4 outcome unknown,\n" +
			"5 move still in progress, 6 move taken back.",
		SilenceUsage:      true,
		SilenceErrors:     true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error { return c.settings(cmd) },
	}
	root.CompletionOptions.DisableDefaultCmd = true
	f := root.PersistentFlags()
	f.StringVar(&c.store, "store", "", "address of the platform's store")
	f.StringVarP(&c.output, "output", "o", "text", "text or json")
	f.DurationVar(&c.timeout, "timeout", defaultTimeout, "longest time for the command")
	root.AddCommand(c.checkCommand(), c.diffCommand(), c.applyCommand(), c.statusCommand(), c.moveCommand(), c.zoneCommand())
	return root
}

// settings takes flags that are not given from the environment.
func (c *Command) settings(cmd *cobra.Command) error {
	var err error
	cmd.Flags().VisitAll(func(f *pflag.Flag) {
		value, given := os.LookupEnv(environment + strings.ToUpper(f.Name))
		if given && !f.Changed && err == nil {
			err = cmd.Flags().Set(f.Name, value)
		}
	})
	if err == nil && c.output != "text" && c.output != "json" {
		err = toucanfault.NotRun(toucanpb.Code_CODE_INVALID, fmt.Sprintf("output %q is neither text nor json", c.output))
	}
	return err
}

func (c *Command) writeFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.author, "author", "", "name published with the change (default the user's name)")
	cmd.Flags().Uint64Var(&c.floor, "floor", 0, "least revision to publish, after the store lost its content")
	cmd.Flags().Uint64Var(&c.on, "on", 0, "refuse unless this revision is published (default any)")
}

// group returns a command that only holds others.
func group(use, short string, commands ...*cobra.Command) *cobra.Command {
	g := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, use+" needs a command")
	}}
	g.AddCommand(commands...)
	return g
}

// run bounds a command's time and makes its failures exit with 1.
func (c *Command) run(f func(ctx context.Context, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		ctx, cancel := context.WithTimeout(cmd.Context(), c.timeout)
		defer cancel()
		err := f(ctx, args)
		var e *ending
		if err != nil && !errors.As(err, &e) {
			return ended(ExitFailed, err)
		}
		return err
	}
}

func (c *Command) head() (*toucanhead.Publisher, error) {
	if c.store == "" {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "no --store given")
	}
	s, err := c.Open(c.store)
	if err != nil {
		return nil, err
	}
	return &toucanhead.Publisher{Store: s, MinRevision: c.floor}, nil
}

func (c *Command) name() string {
	if c.author != "" {
		return c.author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// print writes v as JSON, or the text.
func (c *Command) print(v any, text func(w io.Writer)) {
	if c.output == "json" {
		c.json(v)
		return
	}
	text(c.Out)
}

func (c *Command) json(v any) {
	e := json.NewEncoder(c.Out)
	e.SetIndent("", "  ")
	// The values hold nothing that cannot be encoded.
	_ = e.Encode(v)
}
