// Verdict reads the output of go test -json and decides whether the run
// passes. Failures listed in KNOWN-RED.txt are printed and passed over.
//
// # Usage
//
//	go test -json ./... | go run ./scripts/verdict
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
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

func main() {
	known, err := readKnown("KNOWN-RED.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, "verdict:", err)
		os.Exit(1)
	}
	r := newRun()
	sc := bufio.NewScanner(os.Stdin)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		r.add(sc.Bytes())
	}
	if err := sc.Err(); err != nil {
		fmt.Fprintln(os.Stderr, "verdict:", err)
		os.Exit(1)
	}
	if !r.report(known) {
		os.Exit(1)
	}
}

// readKnown returns the entries "package TestName" of the file.
func readKnown(name string) (map[string]bool, error) {
	data, err := os.ReadFile(name)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	known := make(map[string]bool)
	for _, line := range strings.Split(string(data), "\n") {
		entry, _, ok := strings.Cut(line, "|")
		if ok && !strings.HasPrefix(line, "#") {
			known[strings.TrimSpace(entry)] = true
		}
	}
	return known, nil
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
func (r *run) report(known map[string]bool) bool {
	ok := true
	sort.Strings(r.failed)
	for _, key := range r.failed {
		if covered(key, known) {
			fmt.Println("known red:", key)
			continue
		}
		ok = false
		fmt.Printf("FAIL %s\n%s", key, r.text(key))
	}
	for pkg := range r.packages {
		if !r.tests[pkg] {
			ok = false
			fmt.Printf("FAIL %s\n%s", pkg, r.text(pkg))
		}
	}
	fmt.Printf("%d passed, %d failed\n", r.passed, len(r.failed))
	return ok && r.passed > 0
}

// covered reports whether the failure, or a test it is part of or that is a
// part of it, is listed. A parent fails with its subtests.
func covered(key string, known map[string]bool) bool {
	if known[key] {
		return true
	}
	for entry := range known {
		if strings.HasPrefix(key, entry+"/") || strings.HasPrefix(entry, key+"/") {
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
