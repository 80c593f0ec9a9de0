package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/admin"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/strict"
)

var profileCommands = commandsOf(
	commandSpec{name: "profile show", help: "print the published document", run: profileShow},
	commandSpec{name: "profile diff", help: "print the changes that FILE would make", argument: "FILE", run: profileDiff},
	commandSpec{name: "profile publish", help: "publish FILE and wait until it is in force everywhere", argument: "FILE", addFlags: expectFlag, run: profilePublish},
	commandSpec{name: "profile history", help: "list the published versions", run: profileHistory},
	commandSpec{name: "profile rollback", help: "publish the content of VERSION as a new version", argument: "VERSION", run: profileRollback},
)

func expectFlag(c *command) {
	c.flags.Int64Var(&c.expect, "expect", -1, "`version` that is to be replaced; -1 stands for the file's own")
}

func profileShow(ctx context.Context, c *command) int {
	doc, err := c.Document(ctx)
	if err != nil {
		return c.fail(err)
	}
	// The document is JSON with and without -json, so that what is printed
	// can be edited and published.
	c.printJSON = true
	return c.print(doc, nil)
}

// maxDocumentBytes bounds the file of a document.
const maxDocumentBytes = 8 << 20

// readDocument reads a document from a file; "-" is the standard input.
func readDocument(name string) (*core.Document, error) {
	f := os.Stdin
	if name != "-" {
		var err error
		if f, err = os.Open(name); err != nil {
			return nil, err
		}
		defer f.Close()
	}
	data, err := io.ReadAll(io.LimitReader(f, maxDocumentBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxDocumentBytes {
		return nil, errors.Errorf("%s: over %d bytes", name, maxDocumentBytes)
	}
	doc := &core.Document{}
	if err := strict.Decode(data, doc).Err(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	return doc, nil
}

func profileDiff(ctx context.Context, c *command) int {
	mine, err := readDocument(c.argument())
	if err != nil {
		return c.fail(err)
	}
	theirs, err := c.Document(ctx)
	if err != nil {
		return c.fail(err)
	}
	changes, err := diff(theirs, mine)
	if err != nil {
		return c.fail(err)
	}
	return c.print(changes, func(w *tabwriter.Writer) {
		for _, ch := range changes {
			fmt.Fprintf(w, "%s\t%s\t%s\t->\t%s\n", ch.Kind, ch.Name, ch.Old, ch.New)
		}
	})
}

// publishResult is what came of publishing.
type publishResult struct {
	Version    int64                `json:"version"`
	Everywhere bool                 `json:"everywhere"`
	Instances  []admin.Confirmation `json:"instances"`
}

func profilePublish(ctx context.Context, c *command) int {
	doc, err := readDocument(c.argument())
	if err != nil {
		return c.fail(err)
	}
	if c.expect < 0 {
		c.expect = doc.Version
	}
	return c.publish(ctx, doc, c.expect)
}

// publish publishes the document and waits until it is in force everywhere.
func (c *command) publish(ctx context.Context, doc *core.Document, expected int64) int {
	version, err := c.Publish(ctx, doc, expected)
	if err != nil {
		return c.fail(err)
	}
	all, done, err := c.AwaitVersion(ctx, version)
	if err != nil {
		c.call.Fail(err)
	}
	status := c.print(publishResult{Version: version, Everywhere: done, Instances: all}, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "version %d is published\n", version)
		printConfirmed(w, all, version)
	})
	if !done {
		fmt.Fprintf(c.call.Err, "%s: version %d is not confirmed everywhere\n", c.call.Name, version)
		return exitUnconfirmed
	}
	return status
}

func printConfirmed(w io.Writer, all []admin.Confirmation, version int64) {
	for _, in := range all {
		word := "in force"
		switch {
		case !in.Reached:
			word = "no answer"
		case in.Version < version:
			word = fmt.Sprintf("still at version %d", in.Version)
		}
		fmt.Fprintf(w, "%s\t%s\n", in.Instance, word)
	}
}

// historyLimit bounds the versions that are listed.
const historyLimit = 100

func profileHistory(ctx context.Context, c *command) int {
	versions, err := c.History(ctx, historyLimit)
	if err != nil {
		return c.fail(err)
	}
	return c.print(versions, func(w *tabwriter.Writer) {
		for _, v := range versions {
			at := time.UnixMilli(int64(v.At)).UTC().Format(time.RFC3339)
			fmt.Fprintf(w, "%d\t%s\t%s\n", v.Version, at, v.By)
		}
	})
}

func profileRollback(ctx context.Context, c *command) int {
	version, err := strconv.ParseInt(c.argument(), 10, 64)
	if err != nil {
		return c.call.Misused("argument VERSION: want a number")
	}
	current, err := c.Document(ctx)
	if err != nil {
		return c.fail(err)
	}
	versions, err := c.History(ctx, historyLimit)
	if err != nil {
		return c.fail(err)
	}
	for _, v := range versions {
		if v.Version == version {
			return c.publish(ctx, &v.Doc, current.Version)
		}
	}
	return c.fail(errors.Errorf("version %d is not among the last %d", version, historyLimit))
}
