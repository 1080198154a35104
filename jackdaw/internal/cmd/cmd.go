package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"jackdawhinge/common/register"
	"jackdawhinge/common/targets"
)

// The exit codes. An operator's script can tell a rejected change from an unknown outcome by them.
const (
	exitOK       = 0
	exitFailed   = 1
	exitConflict = 3
	exitInvalid  = 4
	exitLagging  = 5
	exitUnknown  = 6
)

// An exitError is an error that sets the exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// globalFlags holds the flags that all commands share.
type globalFlags struct {
	settingsPath string
	output       string
}

// settings is the content of the settings file: the platform's services and the fleet's shared
// secret.
type settings struct {
	LogService  string `json:"log-service"`
	HostList    string `json:"host-list"`
	FleetSecret string `json:"fleet-secret"`
	// Host is the admin address of the entry host that status, explain and claims query.
	Host string `json:"host"`
}

const jsonOutput = "json"

// Main runs the command line and returns its exit code.
func Main() int {
	g := &globalFlags{}
	root := &cobra.Command{Use: "jackdaw", Short: "Drive a jackdawhinge fleet by its targets", SilenceUsage: true}
	root.PersistentFlags().StringVar(&g.settingsPath, "settings", "jackdaw.json", "file that names the platform's services")
	root.PersistentFlags().StringVar(&g.output, "output", "text", "text or json")
	targetsCmd := &cobra.Command{Use: "targets", Short: "Publish and show the targets of classes of work"}
	targetsCmd.AddCommand(newTargetsApplyCmd(g), newTargetsShowCmd(g), newTargetsHistoryCmd(g), newTargetsSpreadCmd(g), newTargetsHashCmd())
	root.AddCommand(targetsCmd, newStatusCmd(g), newExplainCmd(g), newClaimsCmd(g), newTraceRequestCmd())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := root.ExecuteContext(ctx)
	var withCode *exitError
	switch {
	case errors.As(err, &withCode):
		return withCode.code
	case err != nil:
		return exitFailed
	}
	return exitOK
}

// logServiceSettings reads the settings and returns an error if they lack the log service.
func (g *globalFlags) logServiceSettings() (settings, error) {
	s, err := g.loadSettings()
	if err == nil && s.LogService == "" {
		err = fmt.Errorf("read settings %s: %w", g.settingsPath, &targets.FieldError{Field: "log-service", Problem: "is missing"})
	}
	return s, err
}

// loadSettings reads the settings without checking for missing fields.
func (g *globalFlags) loadSettings() (settings, error) {
	data, err := os.ReadFile(g.settingsPath)
	if err != nil {
		return settings{}, fmt.Errorf("read settings: %w", err)
	}
	var s settings
	if err := register.DecodeStrict(data, &s); err != nil {
		return settings{}, fmt.Errorf("read settings %s: %w", g.settingsPath, err)
	}
	return s, nil
}

// print writes v as JSON if the output flag says so, and calls printText otherwise.
func (g *globalFlags) print(out io.Writer, v any, printText func(io.Writer) error) error {
	if g.output != jsonOutput {
		return printText(out)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
