package main

import (
	"context"
	"io"
	"os"

	"github.com/integrii/flaggy"
)

// command is a subcommand and the function that runs it.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context, w io.Writer) error
}

// newCommands returns all top-level commands with their flags set to the
// defaults.
func newCommands() []command {
	return []command{
		newQuickstart(),
		newBootstrap(),
		newRequest(),
		newQuestionnaire(),
		newConfiguration(),
		newOrder(),
		newReport(),
		newLoad(),
		newExplain(),
		newUnserved(),
	}
}

// run parses the arguments and runs the selected command. Its output goes to w.
// An unknown or missing command is an Invalid error.
func run(ctx context.Context, w io.Writer, args []string) error {
	p := flaggy.NewParser("cicadapitch")
	p.Description = "Operates a cicadapitch deployment."
	commands := newCommands()
	for _, c := range commands {
		p.AttachSubcommand(c.sub, 1)
	}
	if err := p.ParseArgs(args); err != nil {
		return usageError(err.Error())
	}
	selected, err := runSelected(ctx, w, commands)
	if !selected {
		p.ShowHelp()
		return usageError("choose a command")
	}
	return err
}

// runSelected runs the command that the arguments selected. It returns false if
// none was selected.
func runSelected(ctx context.Context, w io.Writer, commands []command) (bool, error) {
	for _, c := range commands {
		if c.sub.Used {
			return true, c.run(ctx, w)
		}
	}
	return false, nil
}

// newGroup returns a command that runs one of its subcommands. Without a subcommand
// it returns a usage error.
func newGroup(name, description string, commands ...command) command {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	for _, c := range commands {
		sub.AttachSubcommand(c.sub, 1)
	}
	return command{sub, func(ctx context.Context, w io.Writer) error {
		selected, err := runSelected(ctx, w, commands)
		if !selected {
			return usageError("choose a subcommand of " + name + "; cicadapitch " + name + " --help lists them")
		}
		return err
	}}
}

// newSubcommand returns a command without subcommands. The caller adds its flags
// and positional arguments.
func newSubcommand(name, description string, run func(ctx context.Context, w io.Writer) error) command {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return command{sub, run}
}

// newLogCommand returns a command that reads the logs of hosts from a file.
func newLogCommand(name, description string, run func(logs io.Reader, w io.Writer) error) command {
	var file string
	c := newSubcommand(name, description, func(_ context.Context, w io.Writer) error {
		f, err := os.Open(file)
		if err != nil {
			return err
		}
		defer f.Close()
		return run(f, w)
	})
	c.sub.String(&file, "l", "log", "file with the logs of all hosts (required)")
	return c
}

// addPositional adds a required positional argument, which is parsed into target.
// Positions count from 1.
func (c command) addPositional(target *string, name string, position int, description string) {
	c.sub.AddPositionalValue(target, name, position, true, description)
}
