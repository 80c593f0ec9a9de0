package main

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/args"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/strict"
)

// runCheck validates a settings file.
func runCheck(_ context.Context, c *args.Call) int {
	file, status, ok := parseSettingsFlag(c)
	if !ok {
		return status
	}
	if _, err := config.Read(file); err != nil {
		return printFaults(c, err)
	}
	fmt.Fprintln(c.Out, "settings are valid")
	return args.ExitOK
}

// printFaults prints each fault of the settings on its own line.
func printFaults(c *args.Call, err error) int {
	var all strict.FieldErrors
	if !errors.As(err, &all) {
		return c.Fail(err)
	}
	for _, f := range all {
		fmt.Fprintln(c.Err, f.Error())
	}
	return args.ExitFail
}
