// Package toucancli implements the command line of toucanctl.
//
// Exit codes: 0 done, 1 failed or refused, 2 usage error, 3 conflict with another
// publication (concurrent, or not the revision given by --on), 4 outcome unknown,
// 5 move still in progress, 6 move rolled back. The status command exits with 1
// if a host lags or was not reached, or the store could not be read. The move
// status command exits with 1 if the move missed its deadline.
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

// Exit codes. Scripts depend on these values.
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
	// environmentPrefix followed by a flag's name in capitals is the variable
	// that sets the flag.
	environmentPrefix = "TOUCANCTL_"
	defaultTimeout    = 30 * time.Second
)

// Store is the part of the platform's store that the commands use.
type Store interface {
	Get(ctx context.Context, key string) (*toucanpb.Entry, error)
	Put(ctx context.Context, key string, value []byte, prev uint64, lease string) (uint64, error)
	Delete(ctx context.Context, key string, prev uint64) error
}

// Command runs the command line. All exported fields must be set.
type Command struct {
	// Open returns a client of the store. Each command that uses the store
	// calls it once.
	Open     func(address string) (Store, error)
	Out, Err io.Writer

	// Values of the flags. minRevision is --floor, expectedRevision is --on and
	// allowOtherChanges is --all.
	storeAddress      string
	author            string
	output            string
	timeout           time.Duration
	dir               string
	hostAddresses     []string
	minRevision       uint64
	expectedRevision  uint64
	allowOtherChanges bool
}

// exitError ends a command with an exit code. Errors of other types are usage
// errors. cause is nil if the command has already printed the reason.
type exitError struct {
	code  int
	cause error
}

func (e *exitError) Error() string {
	if e.cause == nil {
		return ""
	}
	return e.cause.Error()
}

func (e *exitError) Unwrap() error { return e.cause }

func exitWith(code int, cause error) error { return &exitError{code, cause} }

// refused returns an error with code CODE_INVALID that exits with ExitFailed.
func refused(detail string) error {
	return exitWith(ExitFailed, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, detail))
}

// Run executes the command line args, without the program's name, and returns
// the exit code. It prints errors on Err, with -o json on Out too.
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
	var e *exitError
	if errors.As(err, &e) {
		code = e.code
	}
	if text := err.Error(); text != "" {
		if c.output == "json" {
			c.writeJSON(map[string]any{"error": text, "code": code})
		}
		fmt.Fprintln(c.Err, "toucanctl:", text)
	}
	return code
}

func (c *Command) root() *cobra.Command {
	root := &cobra.Command{
		Use:   "toucanctl",
		Short: "Check, publish and monitor the configuration of toucanstair",
		Long: "Check, publish and monitor the configuration of toucanstair.\n\n" +
			"Every flag can be set by an environment variable, TOUCANCTL_ and its name in capitals.\n\n" +
			"Exit codes: 0 done, 1 failed or refused, 2 usage, 3 conflict with another publication,\n" +
			"4 outcome unknown, 5 move still in progress, 6 move rolled back.",
		SilenceUsage:      true,
		SilenceErrors:     true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error { return c.applyEnvironment(cmd) },
	}
	root.CompletionOptions.DisableDefaultCmd = true
	f := root.PersistentFlags()
	f.StringVar(&c.storeAddress, "store", "", "address of the platform's store")
	f.StringVarP(&c.output, "output", "o", "text", "text or json")
	f.DurationVar(&c.timeout, "timeout", defaultTimeout, "time limit of the command")
	root.AddCommand(c.checkCommand(), c.diffCommand(), c.applyCommand(), c.statusCommand(), c.moveCommand(), c.zoneCommand())
	return root
}

// applyEnvironment sets flags that were not given from environment variables,
// then validates --output.
func (c *Command) applyEnvironment(cmd *cobra.Command) error {
	var err error
	cmd.Flags().VisitAll(func(f *pflag.Flag) {
		value, given := os.LookupEnv(environmentPrefix + strings.ToUpper(f.Name))
		if given && !f.Changed && err == nil {
			err = cmd.Flags().Set(f.Name, value)
		}
	})
	if err == nil && c.output != "text" && c.output != "json" {
		err = toucanfault.NotRun(toucanpb.Code_CODE_INVALID, fmt.Sprintf("output %q is neither text nor json", c.output))
	}
	return err
}

func (c *Command) addPublishFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.author, "author", "", "name published with the change (default the user's name)")
	cmd.Flags().Uint64Var(&c.minRevision, "floor", 0, "minimum revision to publish, for use after the store lost its content")
	cmd.Flags().Uint64Var(&c.expectedRevision, "on", 0, "fail unless this revision is the published one (default any)")
}

// group returns a command that only has subcommands.
func group(use, short string, commands ...*cobra.Command) *cobra.Command {
	g := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, use+" needs a command")
	}}
	g.AddCommand(commands...)
	return g
}

// runWithTimeout wraps f so that it is cancelled after --timeout and its errors
// exit with ExitFailed unless they carry another exit code.
func (c *Command) runWithTimeout(f func(ctx context.Context, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		ctx, cancel := context.WithTimeout(cmd.Context(), c.timeout)
		defer cancel()
		err := f(ctx, args)
		var e *exitError
		if err != nil && !errors.As(err, &e) {
			return exitWith(ExitFailed, err)
		}
		return err
	}
}

// publisher opens the store and returns a publisher on it.
func (c *Command) publisher() (*toucanhead.Publisher, error) {
	if c.storeAddress == "" {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "no --store given")
	}
	s, err := c.Open(c.storeAddress)
	if err != nil {
		return nil, err
	}
	return &toucanhead.Publisher{Store: s, MinRevision: c.minRevision}, nil
}

// authorName returns --author, or the name of the operating system's user.
func (c *Command) authorName() string {
	if c.author != "" {
		return c.author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// printResult writes v as JSON if --output is json, and calls text otherwise.
func (c *Command) printResult(v any, text func(w io.Writer)) {
	if c.output == "json" {
		c.writeJSON(v)
		return
	}
	text(c.Out)
}

func (c *Command) writeJSON(v any) {
	e := json.NewEncoder(c.Out)
	e.SetIndent("", "  ")
	// Encoding can't fail: the values hold no channels, functions or cycles.
	// Write errors are ignored as in the text output.
	_ = e.Encode(v)
}
