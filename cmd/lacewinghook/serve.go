package main

import (
	"flag"
	"fmt"
	"os"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/entry"
)

// settingsFlag parses the command line of a subcommand that takes settings.
func settingsFlag(name string, args []string) (file string, status int) {
	fs := flag.NewFlagSet("lacewinghook "+name, flag.ContinueOnError)
	fs.StringVar(&file, "config", "", "settings file, JSON")
	switch err := fs.Parse(args); {
	case err == flag.ErrHelp:
		return "", exitOK
	case err != nil:
		return "", exitUsage
	}
	if fs.NArg() > 0 || file == "" {
		fmt.Fprintf(os.Stderr, "lacewinghook %s: want -config F and nothing else\n", name)
		return "", exitUsage
	}
	return file, exitOK
}

func serve(args []string) int {
	file, status := settingsFlag("serve", args)
	if file == "" {
		return status
	}
	settings, err := config.Read(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFail
	}
	log, err := zap.NewProduction()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFail
	}
	e := &entry.Entry{Settings: settings, Log: log}
	ctx, stop := untilSignal(e.Hurry)
	defer stop()
	if err := e.Run(ctx); err != nil {
		log.Error("entry: failed", zap.Error(err))
		return exitFail
	}
	return exitOK
}
