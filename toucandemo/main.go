// Command toucandemo runs a small deployment as a demonstration.
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

// The demonstration as a whole ends within two minutes.
const limit = 2 * time.Minute

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "toucandemo:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var bin string
	c := &cobra.Command{
		Use:           "toucandemo",
		Short:         "Start a deployment, ask it, break parts of it and stop it",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return run(c.Context(), bin)
		},
	}
	c.Flags().StringVar(&bin, "bin", "bin", "directory of the programs")
	return c
}

func run(ctx context.Context, bin string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
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
	show := &toucanclusterdemo.Demo{Deployment: toucandeploy.New(plan, launcher, nil), Out: os.Stdout}
	if err := show.Run(ctx); err != nil {
		return err
	}
	stage := &toucantestbed.Testbed{EntryBinary: filepath.Join(bin, "toucanedge"), SettingsDir: dir, Launcher: launcher}
	return (&toucanplatformdemo.Demo{Testbed: stage, Out: os.Stdout}).Run(ctx)
}
