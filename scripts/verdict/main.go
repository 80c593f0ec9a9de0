// Verdict reads the output of go test -json and decides whether the run
// passes. Failures listed in KNOWN-RED.txt are printed and passed over. A
// failure of a package that no failed test accounts for, such as one to build
// or a panic, is never passed over.
//
// # Usage
//
//	go test -json ./... | go run ./scripts/verdict
//
// Exit codes: 0 if the run passes, 1 if it doesn't.
package main

import (
	"fmt"
	"os"
)

// knownFile lists the tests that may fail, one a line:
// "package TestName | command and seed | what was seen | issue".
const knownFile = "KNOWN-RED.txt"

func main() {
	data, err := os.ReadFile(knownFile)
	if err != nil && !os.IsNotExist(err) {
		fmt.Fprintln(os.Stderr, "verdict:", err)
		os.Exit(1)
	}
	passes, err := judge(os.Stdin, os.Stdout, parseKnown(string(data)))
	if err != nil {
		fmt.Fprintln(os.Stderr, "verdict:", err)
		os.Exit(1)
	}
	if !passes {
		os.Exit(1)
	}
}
