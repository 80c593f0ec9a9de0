package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"lacewinghook.example/lacewinghook/load"
)

// runLoad runs a load plan and writes its report.
func runLoad(ctx context.Context, args []string) int {
	fs := flag.NewFlagSet("lacefake load", flag.ContinueOnError)
	file := fs.String("config", "", "plan, JSON")
	jsonFile := fs.String("json", "", "file for all rows")
	plotFile := fs.String("plot", "", "file for the plot, SVG")
	if status, ok := parseFlags(fs, args); !ok {
		return status
	}
	plan, err := load.ReadPlan(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lacefake load:", err)
		return exitFail
	}
	report, err := load.Run(ctx, plan, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lacefake load:", err)
		return exitFail
	}
	report.Text(os.Stdout)
	if !saveFile(*jsonFile, report.JSON) || !saveFile(*plotFile, report.SVG) {
		return exitFail
	}
	return exitOK
}

// saveFile writes a file unless the name is empty, and reports whether that
// succeeded.
func saveFile(name string, write func(io.Writer) error) bool {
	if name == "" {
		return true
	}
	f, err := os.Create(name)
	if err == nil {
		err = write(f)
	}
	if err == nil {
		err = f.Close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "lacefake load:", err)
	}
	return err == nil
}
