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

// Exit codes of all programs.
const (
	ExitOK = 0
	// ExitFail means that the command failed, ExitUsage that the command line is
	// wrong.
	ExitFail  = 1
	ExitUsage = 2
)

// Command is a subcommand, such as "check" or "profile show".
type Command struct {
	Name string
	// Help is the one-line description in the list of commands.
	Help string
	// Run executes the command and returns the exit code.
	Run func(ctx context.Context, c *Call) int
}

// Call is one invocation of a subcommand.
type Call struct {
	// Name consists of the names of the program and the command, such as
	// "lacectl status".
	Name string
	// Help is the command's description.
	Help string
	// Args are the arguments after the command's name, flags included.
	Args []string
	// Out and Err receive the output and the error messages.
	Out io.Writer
	Err io.Writer
}

// Program is a program with subcommands.
type Program struct {
	Name string
	// Help describes the program in one line. Notes are printed after the list
	// of commands.
	Help  string
	Notes string
	// Commands are the subcommands in the order of the help text.
	Commands []Command
	// Out and Err receive the output; nil means standard output and error.
	Out io.Writer
	Err io.Writer
}

// Run runs the subcommand at the start of argv and returns the exit code.
func (p *Program) Run(ctx context.Context, argv []string) int {
	out, errOut := p.Out, p.Err
	if out == nil {
		out = os.Stdout
	}
	if errOut == nil {
		errOut = os.Stderr
	}
	if len(argv) == 0 {
		p.usage(errOut)
		return ExitUsage
	}
	if isHelp(argv[0]) {
		p.usage(out)
		return ExitOK
	}
	cmd, rest, ok := p.find(argv)
	if !ok {
		fmt.Fprintf(errOut, "%s: unknown command %q; see %s -h\n", p.Name, commandWords(argv), p.Name)
		return ExitUsage
	}
	call := &Call{Name: p.Name + " " + cmd.Name, Help: cmd.Help, Args: rest, Out: out, Err: errOut}
	return cmd.Run(ctx, call)
}

// isHelp reports whether arg requests the help text.
func isHelp(arg string) bool {
	return arg == "help" || arg == "-h" || arg == "-help" || arg == "--help"
}

// find returns the command whose name argv starts with and the remaining
// arguments.
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

// commandWords returns the first argument, and the second unless it is a flag,
// for the error about an unknown command.
func commandWords(argv []string) string {
	words := argv[:1]
	if len(argv) > 1 && !strings.HasPrefix(argv[1], "-") {
		words = argv[:2]
	}
	return strings.Join(words, " ")
}

// usage writes the help text of the program.
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

// Flags returns an empty flag set for the command. The help text shows arguments,
// such as "FILE", after the flags.
func (c *Call) Flags(arguments string) *flag.FlagSet {
	fs := flag.NewFlagSet(c.Name, flag.ContinueOnError)
	fs.Usage = func() { c.usage(fs, arguments) }
	return fs
}

// usage writes the help text of the command.
func (c *Call) usage(fs *flag.FlagSet, arguments string) {
	if c.Help != "" {
		fmt.Fprintf(c.Out, "%s\n\n", c.Help)
	}
	fmt.Fprintf(c.Out, "usage: %s\n\n", strings.TrimSpace(c.Name+" [flags] "+arguments))
	fs.SetOutput(c.Out)
	fs.PrintDefaults()
}

// Parse parses the flags and checks that n arguments remain. If ok is false,
// Parse has printed the help text or an error, and the command must return
// status.
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
		return c.UsageError("%v", err), false
	case fs.NArg() > n:
		return c.UsageError("unknown argument %q", fs.Arg(n)), false
	case fs.NArg() < n:
		return c.UsageError("want %d arguments, have %d", n, fs.NArg()), false
	}
	return ExitOK, true
}

// UsageError prints a one-line error about the command line and returns
// [ExitUsage].
func (c *Call) UsageError(format string, a ...any) int {
	fmt.Fprintf(c.Err, "%s: %s; see %s -h\n", c.Name, fmt.Sprintf(format, a...), c.Name)
	return ExitUsage
}

// Fail prints err in one line and returns [ExitFail].
func (c *Call) Fail(err error) int {
	fmt.Fprintf(c.Err, "%s: %v\n", c.Name, err)
	return ExitFail
}
