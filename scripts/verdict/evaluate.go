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

// event is one line of the output of go test -json. The fields are decoded by
// their Go names.
type event struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
}

// maxLineBytes is the maximum length of a line of the input.
const maxLineBytes = 4 << 20

// evaluate reads the output of go test -json from in, writes a summary to out, and
// reports whether the run passes. Tests in known may fail.
func evaluate(in io.Reader, out io.Writer, known map[string]bool) (passes bool, err error) {
	run := newTestRun()
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		run.addEvent(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return false, err
	}
	return run.report(out, known), nil
}

// parseKnown parses the list of known failures. Each key of the result has the
// form "package TestName". Comments and lines without a "|" are skipped.
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

// testRun collects the results of one run of go test. Tests are identified by
// "package TestName", packages by their import path.
type testRun struct {
	// outputs holds the output of tests and packages that have not passed.
	outputs     map[string]*strings.Builder
	failedTests []string
	// passedTests is the number of tests and subtests that passed.
	passedTests int
	// failedPackages holds the packages that failed.
	failedPackages map[string]bool
	// packagesWithFailedTests holds the packages in which a test failed. A
	// failed package that is missing here didn't build or panicked.
	packagesWithFailedTests map[string]bool
}

// newTestRun returns a run without results.
func newTestRun() *testRun {
	return &testRun{
		outputs:                 make(map[string]*strings.Builder),
		failedPackages:          make(map[string]bool),
		packagesWithFailedTests: make(map[string]bool),
	}
}

// addEvent adds one line of the input. Lines that are not JSON are skipped, since
// go test -json also passes on other output, such as that of module downloads.
func (t *testRun) addEvent(line []byte) {
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
		t.appendOutput(key, e.Output)
	case "pass":
		if e.Test != "" {
			t.passedTests++
		}
		delete(t.outputs, key)
	case "fail", "build-fail":
		t.recordFailure(key, e)
	}
}

// appendOutput appends text to the output of a test or package.
func (t *testRun) appendOutput(key, text string) {
	b := t.outputs[key]
	if b == nil {
		b = &strings.Builder{}
		t.outputs[key] = b
	}
	b.WriteString(text)
}

// recordFailure records the failure of a test, or of a package if the event
// names no test.
func (t *testRun) recordFailure(key string, e event) {
	if e.Test == "" {
		t.failedPackages[e.Package] = true
		return
	}
	t.packagesWithFailedTests[e.Package] = true
	t.failedTests = append(t.failedTests, key)
}

// report writes the failures and the totals to w, and reports whether the run
// passes. A run in which no test passed fails.
func (t *testRun) report(w io.Writer, known map[string]bool) bool {
	passes := true
	sort.Strings(t.failedTests)
	for _, key := range t.failedTests {
		if t.isKnown(key, known) {
			fmt.Fprintln(w, "known red:", key)
			continue
		}
		passes = false
		fmt.Fprintf(w, "FAIL %s\n%s", key, t.outputOf(key))
	}
	for pkg := range t.failedPackages {
		if !t.packagesWithFailedTests[pkg] {
			passes = false
			fmt.Fprintf(w, "FAIL %s\n%s", pkg, t.outputOf(pkg))
		}
	}
	fmt.Fprintf(w, "%d passed, %d failed\n", t.passedTests, len(t.failedTests))
	return passes && t.passedTests > 0
}

// isKnown reports whether the failed test key is listed, is a subtest of a listed
// test, or has a listed subtest that failed as well. In the last case, the test
// failed because of its subtest.
func (t *testRun) isKnown(key string, known map[string]bool) bool {
	if known[key] {
		return true
	}
	for entry := range known {
		if strings.HasPrefix(key, entry+"/") {
			return true
		}
		if strings.HasPrefix(entry, key+"/") && slices.Contains(t.failedTests, entry) {
			return true
		}
	}
	return false
}

// outputOf returns the output of a test or package.
func (t *testRun) outputOf(key string) string {
	if b := t.outputs[key]; b != nil {
		return b.String()
	}
	return ""
}
