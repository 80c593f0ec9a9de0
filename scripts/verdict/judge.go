package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
)

// event is one line of go test -json.
type event struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
}

// maxLineBytes bounds one line of the test output.
const maxLineBytes = 4 << 20

// judge reads the results of a run, reports them, and returns whether the run
// passes.
func judge(in io.Reader, out io.Writer, known map[string]bool) (passes bool, err error) {
	r := newRun()
	sc := bufio.NewScanner(in)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		r.add(sc.Bytes())
	}
	if err := sc.Err(); err != nil {
		return false, err
	}
	return r.report(out, known), nil
}

// parseKnown returns the entries "package TestName" of the list.
func parseKnown(text string) map[string]bool {
	known := make(map[string]bool)
	for line := range strings.SplitSeq(text, "\n") {
		entry, _, ok := strings.Cut(line, "|")
		if ok && !strings.HasPrefix(line, "#") {
			known[strings.TrimSpace(entry)] = true
		}
	}
	return known
}

// run gathers the results of one test run.
type run struct {
	output map[string]*strings.Builder
	failed []string
	passed int
	// packages holds the packages that failed, and whether one of their
	// tests accounts for it.
	packages map[string]bool
	tests    map[string]bool
}

func newRun() *run {
	return &run{
		output:   make(map[string]*strings.Builder),
		packages: make(map[string]bool),
		tests:    make(map[string]bool),
	}
}

func (r *run) add(line []byte) {
	var e event
	if json.Unmarshal(line, &e) != nil {
		return
	}
	if e.Package == "" {
		e.Package = e.ImportPath
	}
	key := strings.TrimSpace(e.Package + " " + e.Test)
	switch e.Action {
	case "output", "build-output":
		r.keep(key, e.Output)
	case "pass":
		if e.Test != "" {
			r.passed++
		}
		delete(r.output, key)
	case "fail", "build-fail":
		r.fail(key, e)
	}
}

func (r *run) keep(key, text string) {
	b := r.output[key]
	if b == nil {
		b = &strings.Builder{}
		r.output[key] = b
	}
	b.WriteString(text)
}

func (r *run) fail(key string, e event) {
	if e.Test == "" {
		r.packages[e.Package] = true
		return
	}
	r.tests[e.Package] = true
	r.failed = append(r.failed, key)
}

// report prints the failures and returns whether the run passes.
func (r *run) report(w io.Writer, known map[string]bool) bool {
	ok := true
	sort.Strings(r.failed)
	for _, key := range r.failed {
		if r.covered(key, known) {
			fmt.Fprintln(w, "known red:", key)
			continue
		}
		ok = false
		fmt.Fprintf(w, "FAIL %s\n%s", key, r.text(key))
	}
	for pkg := range r.packages {
		if !r.tests[pkg] {
			ok = false
			fmt.Fprintf(w, "FAIL %s\n%s", pkg, r.text(pkg))
		}
	}
	fmt.Fprintf(w, "%d passed, %d failed\n", r.passed, len(r.failed))
	return ok && r.passed > 0
}

// covered reports whether the failure is listed, or a part of one that is, or
// has a listed part that failed too: a parent fails with its subtests.
func (r *run) covered(key string, known map[string]bool) bool {
	if known[key] {
		return true
	}
	for entry := range known {
		if strings.HasPrefix(key, entry+"/") {
			return true
		}
		if strings.HasPrefix(entry, key+"/") && slices.Contains(r.failed, entry) {
			return true
		}
	}
	return false
}

func (r *run) text(key string) string {
	if b := r.output[key]; b != nil {
		return b.String()
	}
	return ""
}
