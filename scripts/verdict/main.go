// Command verdict reads the output of go test -json and decides whether the run
// passes. Failures of tests listed in KNOWN-RED.txt are printed and tolerated. A
// package that fails without a failed test, such as by a build error or a panic,
// always fails the run.
//
// # Usage
//
//	go test -json ./... | go run ./scripts/verdict
//
// Exit codes: 0 if the run passes, 1 if it doesn't or the input can't be read.
package main

import (
	"fmt"
	"os"
)

// knownFailuresFile lists the tests that may fail, one per line in the form
// "package TestName | command and seed | what was seen | issue".
const knownFailuresFile = "KNOWN-RED.txt"

func main() {
	data, err := os.ReadFile(knownFailuresFile)
	if err != nil && !os.IsNotExist(err) {
		fmt.Fprintln(os.Stderr, "verdict:", err)
		os.Exit(1)
	}
	passes, err := evaluate(os.Stdin, os.Stdout, parseKnown(string(data)))
	if err != nil {
		fmt.Fprintln(os.Stderr, "verdict:", err)
		os.Exit(1)
	}
	if !passes {
		os.Exit(1)
	}
}
