package main

import (
	"context"
	"io"

	"github.com/integrii/flaggy"
)

// command is one subcommand. run is called where it was chosen.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context, w io.Writer) error
}

// newCommands returns all commands with flags at their defaults.
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
	}
}

// run parses the arguments and runs the command they choose.
func run(ctx context.Context, w io.Writer, args []string) error {
	p := flaggy.NewParser("cicadapitch")
	p.Description = "Operates a cicadapitch deployment."
	commands := newCommands()
	for _, c := range commands {
		p.AttachSubcommand(c.sub, 1)
	}
	if err := p.ParseArgs(args); err != nil {
		return usage(err.Error())
	}
	ran, err := runUsed(ctx, w, commands)
	if !ran {
		p.ShowHelp()
		return usage("choose a command")
	}
	return err
}

// runUsed runs the command that was chosen, if there is one.
func runUsed(ctx context.Context, w io.Writer, commands []command) (bool, error) {
	for _, c := range commands {
		if c.sub.Used {
			return true, c.run(ctx, w)
		}
	}
	return false, nil
}

// newGroup returns a command that only chooses between others.
func newGroup(name, description string, commands ...command) command {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	for _, c := range commands {
		sub.AttachSubcommand(c.sub, 1)
	}
	return command{sub, func(ctx context.Context, w io.Writer) error {
		ran, err := runUsed(ctx, w, commands)
		if !ran {
			return usage("choose a subcommand of " + name + "; cicadapitch " + name + " --help lists them")
		}
		return err
	}}
}

// newLeaf returns a subcommand whose flags the caller adds.
func newLeaf(name, description string, run func(ctx context.Context, w io.Writer) error) command {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return command{sub, run}
}

// positional adds a required positional argument.
func (c command) positional(target *string, name string, at int, description string) {
	c.sub.AddPositionalValue(target, name, at, true, description)
}
