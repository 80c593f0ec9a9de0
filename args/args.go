package args

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"
)

// The exit codes of all programs.
const (
	ExitOK    = 0
	ExitFail  = 1
	ExitUsage = 2
)

// Command is a subcommand, such as "check" or "profile show".
type Command struct {
	Name string
	// Help is a line for the list of commands.
	Help string
	// Run carries the command out and returns the exit code.
	Run func(ctx context.Context, c *Call) int
}

// Call is one run of a subcommand.
type Call struct {
	// Name is that of the program and the command.
	Name string
	Help string
	Args []string
	Out  io.Writer
	Err  io.Writer
}

// Program is a program with subcommands.
type Program struct {
	Name string
	// Help is a line about the program, and Notes stand below the commands.
	Help  string
	Notes string
	// Commands are the subcommands in the order in which they are listed.
	Commands []Command
	// Out and Err are where output goes; nil is the process's own.
	Out io.Writer
	Err io.Writer
}

// Run runs the command that argv names and returns the exit code.
func (p *Program) Run(ctx context.Context, argv []string) int {
	out, errs := p.Out, p.Err
	if out == nil {
		out = os.Stdout
	}
	if errs == nil {
		errs = os.Stderr
	}
	if len(argv) == 0 {
		p.usage(errs)
		return ExitUsage
	}
	if isHelp(argv[0]) {
		p.usage(out)
		return ExitOK
	}
	cmd, rest, ok := p.find(argv)
	if !ok {
		fmt.Fprintf(errs, "%s: unknown command %q; see %s -h\n", p.Name, wrong(argv), p.Name)
		return ExitUsage
	}
	call := &Call{Name: p.Name + " " + cmd.Name, Help: cmd.Help, Args: rest, Out: out, Err: errs}
	return cmd.Run(ctx, call)
}

func isHelp(arg string) bool {
	return arg == "help" || arg == "-h" || arg == "-help" || arg == "--help"
}

// find returns the command whose words argv begins with.
func (p *Program) find(argv []string) (Command, []string, bool) {
	for _, c := range p.Commands {
		words := strings.Fields(c.Name)
		n := len(words)
		if len(argv) >= n && strings.Join(argv[:n], " ") == c.Name {
			return c, argv[n:], true
		}
	}
	return Command{}, nil, false
}

// wrong returns the words of argv that come before its flags, two at most.
func wrong(argv []string) string {
	words := argv[:1]
	if len(argv) > 1 && !strings.HasPrefix(argv[1], "-") {
		words = argv[:2]
	}
	return strings.Join(words, " ")
}

func (p *Program) usage(w io.Writer) {
	fmt.Fprintf(w, "%s\n\nusage: %s COMMAND [flags]\n\n", p.Help, p.Name)
	width := 0
	for _, c := range p.Commands {
		width = max(width, len(c.Name))
	}
	for _, c := range p.Commands {
		fmt.Fprintf(w, "  %-*s  %s\n", width, c.Name, c.Help)
	}
	fmt.Fprintf(w, "\n%s COMMAND -h lists the flags of a command.\n", p.Name)
	if p.Notes != "" {
		fmt.Fprintf(w, "\n%s\n", p.Notes)
	}
}

// Flags returns the flag set of the call. Arguments names what the command
// takes beside flags, for its help.
func (c *Call) Flags(arguments string) *flag.FlagSet {
	fs := flag.NewFlagSet(c.Name, flag.ContinueOnError)
	fs.Usage = func() { c.usage(fs, arguments) }
	return fs
}

func (c *Call) usage(fs *flag.FlagSet, arguments string) {
	if c.Help != "" {
		fmt.Fprintf(c.Out, "%s\n\n", c.Help)
	}
	fmt.Fprintf(c.Out, "usage: %s\n\n", strings.TrimSpace(c.Name+" [flags] "+arguments))
	fs.SetOutput(c.Out)
	fs.PrintDefaults()
}

// Parse parses the flags and checks that n arguments are left. If ok is
// false, the command must end with status.
func (c *Call) Parse(fs *flag.FlagSet, n int) (status int, ok bool) {
	usage := fs.Usage
	if usage == nil {
		usage = func() { c.usage(fs, "") }
	}
	fs.Usage = func() {}
	fs.SetOutput(io.Discard)
	err := fs.Parse(c.Args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		usage()
		return ExitOK, false
	case err != nil:
		return c.Misused("%v", err), false
	case fs.NArg() > n:
		return c.Misused("unknown argument %q", fs.Arg(n)), false
	case fs.NArg() < n:
		return c.Misused("want %d arguments, have %d", n, fs.NArg()), false
	}
	return ExitOK, true
}

// Misused writes one line on what is wrong with the command line.
func (c *Call) Misused(format string, a ...any) int {
	fmt.Fprintf(c.Err, "%s: %s; see %s -h\n", c.Name, fmt.Sprintf(format, a...), c.Name)
	return ExitUsage
}

// Fail writes one line on why the command failed.
func (c *Call) Fail(err error) int {
	fmt.Fprintf(c.Err, "%s: %v\n", c.Name, err)
	return ExitFail
}
