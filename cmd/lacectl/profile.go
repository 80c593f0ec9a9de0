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

// profileCommands show and change the published document.
var profileCommands = commandsOf(
	commandSpec{name: "profile show", help: "print the published document", run: showDocument},
	commandSpec{name: "profile diff", help: "print the changes that FILE would make", argument: "FILE", run: showDiff},
	commandSpec{name: "profile publish", help: "publish FILE and wait until every entry uses it", argument: "FILE", addFlags: expectFlag, run: publishFile},
	commandSpec{name: "profile history", help: "list the published versions", run: listHistory},
	commandSpec{name: "profile rollback", help: "publish the content of VERSION as a new version", argument: "VERSION", run: rollBack},
)

// expectFlag adds the flag -expect.
func expectFlag(c *command) {
	c.flags.Int64Var(&c.expect, "expect", -1, "`version` to replace; -1 means the version in the file")
}

// showDocument prints the published document.
func showDocument(ctx context.Context, c *command) int {
	doc, err := c.Document(ctx)
	if err != nil {
		return c.fail(err)
	}
	// The output is always JSON, so that it can be edited and published.
	c.printJSON = true
	return c.print(doc, nil)
}

// maxDocumentBytes is the maximum size of a document file.
const maxDocumentBytes = 8 << 20

// readDocument reads a document from a file, or from standard input if the name
// is "-".
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

// showDiff prints the parts that publishing the file would change.
func showDiff(ctx context.Context, c *command) int {
	local, err := readDocument(c.argument())
	if err != nil {
		return c.fail(err)
	}
	published, err := c.Document(ctx)
	if err != nil {
		return c.fail(err)
	}
	changes, err := diffDocuments(published, local)
	if err != nil {
		return c.fail(err)
	}
	return c.print(changes, func(w *tabwriter.Writer) {
		for _, ch := range changes {
			fmt.Fprintf(w, "%s\t%s\t%s\t->\t%s\n", ch.Kind, ch.Name, ch.Old, ch.New)
		}
	})
}

// publishResult is the output of a publication.
type publishResult struct {
	Version    int64                 `json:"version"`
	Everywhere bool                  `json:"everywhere"`
	Instances  []admin.ActiveVersion `json:"instances"`
}

// publishFile publishes the document in the file.
func publishFile(ctx context.Context, c *command) int {
	doc, err := readDocument(c.argument())
	if err != nil {
		return c.fail(err)
	}
	if c.expect < 0 {
		c.expect = doc.Version
	}
	return c.publish(ctx, doc, c.expect)
}

// publish publishes the document and waits until every entry uses it. It
// returns exitUnconfirmed if an entry doesn't confirm the version in time.
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

// printConfirmed writes a line for each entry: whether it uses the version.
func printConfirmed(w io.Writer, all []admin.ActiveVersion, version int64) {
	for _, instance := range all {
		state := "in force"
		switch {
		case !instance.Reached:
			state = "no answer"
		case instance.Version < version:
			state = fmt.Sprintf("still at version %d", instance.Version)
		}
		fmt.Fprintf(w, "%s\t%s\n", instance.Instance, state)
	}
}

// historyLimit is the maximum number of versions listed or searched.
const historyLimit = 100

// listHistory prints the published versions, newest first.
func listHistory(ctx context.Context, c *command) int {
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

// rollBack publishes the content of an older version as a new version.
func rollBack(ctx context.Context, c *command) int {
	version, err := strconv.ParseInt(c.argument(), 10, 64)
	if err != nil {
		return c.call.UsageError("argument VERSION: want a number")
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
