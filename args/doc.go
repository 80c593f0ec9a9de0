// Package args runs subcommands and parses their flags. All programs use it, so
// that they report errors in the same way: for an unknown command or a wrong
// flag or argument they print one line that names it and exit with code 2.
//
// # Usage
//
//	p := args.Program{Name: "lacectl", Help: "...", Commands: commands}
//	os.Exit(p.Run(ctx, os.Args[1:]))
//
// A subcommand parses its flags first:
//
//	fs := c.Flags("")
//	file := fs.String("config", "", "settings file, JSON")
//	if status, ok := c.Parse(fs, 0); !ok {
//		return status
//	}
package args
