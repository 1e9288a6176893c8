// Command toucandemo demonstrates a small deployment: it runs queries, injects
// failures and shuts the deployment down.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"toucanstair.example/core/toucandeploy"
	"toucanstair.example/core/toucanlaunch"
	"toucanstair.example/platform/toucantestbed"
	"toucanstair.example/toucandemo/rules"
	"toucanstair.example/toucandemo/toucanclusterdemo"
	"toucanstair.example/toucandemo/toucanplatformdemo"
)

// totalTimeout bounds the whole demonstration.
const totalTimeout = 2 * time.Minute

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "toucandemo:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var bin string
	c := &cobra.Command{
		Use:           "toucandemo",
		Short:         "Start a deployment, query it, make parts of it fail and stop it",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return run(c.Context(), bin)
		},
	}
	c.Flags().StringVar(&bin, "bin", "bin", "directory with the project's binaries")
	return c
}

func run(ctx context.Context, bin string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, totalTimeout)
	defer cancel()
	plan, err := toucandeploy.NamedPlan("demo")
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "toucandemo")
	if err != nil {
		return err
	}
	defer func() {
		if e := os.RemoveAll(dir); err == nil {
			err = e
		}
	}()
	plan.Bin, plan.Dir, plan.Rules = bin, dir, rules.Files
	launcher := &toucanlaunch.Launcher{}
	defer launcher.Close()
	demo := &toucanclusterdemo.Demo{Deployment: toucandeploy.New(plan, launcher, nil), Out: os.Stdout}
	if err := demo.Run(ctx); err != nil {
		return err
	}
	testbed := &toucantestbed.Testbed{EntryBinary: filepath.Join(bin, "toucanedge"), SettingsDir: dir, Launcher: launcher}
	return (&toucanplatformdemo.Demo{Testbed: testbed, Out: os.Stdout}).Run(ctx)
}
