// Package args runs the subcommands of the programs and parses their flags, so
// that all programs take and refuse a command line alike: a wrong command,
// flag or argument gives one line that names it, and exit code 2.
//
// # Usage
//
//	p := args.Program{Name: "lacectl", Help: "...", Commands: commands}
//	os.Exit(p.Run(ctx, os.Args[1:]))
//
// A subcommand parses its flags first:
//
//	fs := c.Flags("file", "")
//	file := fs.String("config", "", "settings file, JSON")
//	if status, ok := c.Parse(fs, 0); !ok {
//		return status
//	}
package args
