// Package toucancommand starts and stops the entry host's process.
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

// Exit codes of the process.
// A fault on the request path repeats one line thousands of times a second: of
// lines with the same message, the first logFirst of a second are written and
// then one in logThereafter.
const (
	logFirst      = 20
	logThereafter = 100
)

const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// Command is the program's command line. The zero value writes nowhere.
type Command struct {
	Out io.Writer // of --report and the stdout trace exporter
	Err io.Writer // of logs and errors in the use of flags
}

// Run runs the program with the arguments after its name until a signal ends
// it, and returns the exit code: 0 when nothing was interrupted, 1 after a
// failure, 2 for a flag that is not allowed.
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
			if err := environment(cmd.Flags()); err != nil {
				return err
			}
			return s.check()
		},
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.serve(cmd.Context(), &s, signals)
		},
	}
	s.bind(root.Flags())
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		var value *pflag.InvalidValueError
		if errors.As(err, &value) {
			return mistyped(value.GetFlag(), value.GetValue(), value.Unwrap())
		}
		return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, err.Error()+"; --help lists the flags")
	})
	root.SetOut(c.Out)
	root.SetErr(c.Err)
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitDone
	}
	fmt.Fprintln(c.Err, "toucanstair:", err)
	if f := toucanfault.As(err); f != nil && f.Code == toucanpb.Code_CODE_INVALID {
		return exitUsage
	}
	return exitFailed
}

func (c Command) serve(ctx context.Context, s *Settings, signals <-chan os.Signal) error {
	core := zapcore.NewCore(
		zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.Lock(zapcore.AddSync(c.Err)), s.level())
	log := zap.New(zapcore.NewSamplerWithOptions(core, time.Second, logFirst, logThereafter),
		zap.Fields(zap.String("host", s.Name), zap.String("zone", s.Zone)))
	defer log.Sync()
	tracers, flush, err := toucantrace.Tracing{Exporter: s.TraceExporter, Host: s.Name, Zone: s.Zone}.Start(ctx, c.Out)
	if err != nil {
		return err
	}
	p, err := open(ctx, s, log, tracers)
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
	if late := flush(); late != nil {
		log.Warn("the last spans were not sent", zap.Error(late))
	}
	return err
}
