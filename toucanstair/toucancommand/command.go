// Package toucancommand implements the command line, startup and shutdown of the entry
// host.
package toucancommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"

	"toucanstair.example/toucanstair/toucantrace"
)

// Log sampling. A fault on the request path logs the same line thousands of times a
// second. Of the lines with the same message, the first logFirst in a second are
// written, and then one in logThereafter.
const (
	logFirst      = 20
	logThereafter = 100
)

// Exit codes of the process.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Command is the command line of the program. The zero value discards all output.
type Command struct {
	Out io.Writer // output of --report and the stdout trace exporter
	Err io.Writer // output of logs and errors
}

// Run runs the program until SIGTERM or SIGINT has stopped it and returns the exit code:
// 0 after a graceful shutdown, 1 after a failure or an interrupted shutdown, 2 for
// invalid flags. args are the arguments after the program's name.
func (c Command) Run(args []string) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	return c.run(context.Background(), args, signals)
}

func (c Command) run(ctx context.Context, args []string, signals <-chan os.Signal) int {
	if c.Out == nil {
		c.Out = io.Discard
	}
	if c.Err == nil {
		c.Err = io.Discard
	}
	var s Settings
	root := &cobra.Command{
		Use:   "toucanstair",
		Short: "Entry host of the toucanstair query tier",
		Long:  "Entry host of the toucanstair query tier.\n\nEach flag can also be given as a variable " + envPrefix + "<FLAG>.",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, fmt.Sprintf("argument %q is not allowed; there are only flags", args[0]))
			}
			return nil
		},
		SilenceUsage:  true,
		SilenceErrors: true,
		PreRunE: func(cmd *cobra.Command, _ []string) error {
			if err := applyEnvironment(cmd.Flags()); err != nil {
				return err
			}
			return s.validate()
		},
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.serve(cmd.Context(), &s, signals)
		},
	}
	s.addFlags(root.Flags())
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		var value *pflag.InvalidValueError
		if errors.As(err, &value) {
			return typeError(value.GetFlag(), value.GetValue(), value.Unwrap())
		}
		return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, err.Error()+"; --help lists the flags")
	})
	root.SetOut(c.Out)
	root.SetErr(c.Err)
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(c.Err, "toucanstair:", err)
	if fault := toucanfault.As(err); fault != nil && fault.Code == toucanpb.Code_CODE_INVALID {
		return exitUsage
	}
	return exitFailed
}

// serve starts the host and blocks until it has stopped.
func (c Command) serve(ctx context.Context, s *Settings, signals <-chan os.Signal) error {
	core := zapcore.NewCore(
		zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.Lock(zapcore.AddSync(c.Err)), s.zapLevel())
	log := zap.New(zapcore.NewSamplerWithOptions(core, time.Second, logFirst, logThereafter),
		zap.Fields(zap.String("host", s.Name), zap.String("zone", s.Zone)))
	defer log.Sync()
	tracers, flush, err := toucantrace.Tracing{Exporter: s.TraceExporter, Host: s.Name, Zone: s.Zone}.Start(ctx, c.Out)
	if err != nil {
		return err
	}
	p, err := openProcess(ctx, s, log, tracers)
	if err != nil {
		return err
	}
	if s.Report {
		if err := p.report(c.Out); err != nil {
			p.close()
			return err
		}
	}
	err = p.run(ctx, signals)
	if flushErr := flush(); flushErr != nil {
		log.Warn("cannot export the remaining spans", zap.Error(flushErr))
	}
	return err
}
