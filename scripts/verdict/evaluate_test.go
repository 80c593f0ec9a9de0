package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Parts of the output of go test -json.
const (
	passEvent        = `{"Action":"pass","Package":"p","Test":"TestGood"}` + "\n"
	outputEvent      = `{"Action":"output","Package":"p","Test":"TestBad/a","Output":"seen: 2\n"}` + "\n"
	failEvents       = outputEvent + `{"Action":"fail","Package":"p","Test":"TestBad/a"}` + "\n" + `{"Action":"fail","Package":"p","Test":"TestBad"}` + "\n" + `{"Action":"fail","Package":"p"}` + "\n"
	parentFailEvents = `{"Action":"pass","Package":"p","Test":"TestBad/b"}` + "\n" + `{"Action":"fail","Package":"p","Test":"TestBad"}` + "\n" + `{"Action":"fail","Package":"p"}` + "\n"
	buildFailEvents  = `{"ImportPath":"q","Action":"build-output","Output":"q.go:1: undefined\n"}` + "\n" + `{"ImportPath":"q","Action":"build-fail"}` + "\n" + `{"Action":"fail","Package":"q","FailedBuild":"q"}` + "\n"
	panicEvents      = `{"Action":"output","Package":"q","Output":"panic: nil\n"}` + "\n" + `{"Action":"fail","Package":"q"}` + "\n"
)

func TestEvaluate(t *testing.T) {
	for name, tc := range map[string]struct {
		in, known string
		passes    bool
		output    string
	}{
		"all pass":                 {passEvent, "", true, "1 passed, 0 failed"},
		"no tests at all":          {"", "", false, "0 passed, 0 failed"},
		"one fails":                {passEvent + failEvents, "", false, "FAIL p TestBad/a\nseen: 2"},
		"known red":                {passEvent + failEvents, "p TestBad/a | go test -run X | 2 not 1 | issue 9", true, "known red: p TestBad/a"},
		"known red, parent listed": {passEvent + failEvents, "p TestBad | go test | 2 not 1 | issue 9", true, "known red: p TestBad/a"},
		"failed name is only a prefix of a listed one": {passEvent + failEvents, "p TestBadly | go test | 2 not 1 | issue 9", false, "FAIL p TestBad"},
		"listed subtest passed, parent failed":         {passEvent + parentFailEvents, "p TestBad/b | go test | 2 not 1 | issue 9", false, "FAIL p TestBad"},
		"listed in a comment":                          {passEvent + failEvents, "# p TestBad | go test | 2 | issue 9", false, "FAIL p TestBad"},
		"build failure":                                {passEvent + buildFailEvents, "q TestX | go test | - | issue 9", false, "FAIL q\nq.go:1: undefined"},
		"package without a test":                       {passEvent + panicEvents, "q TestX | go test | - | issue 9", false, "FAIL q\npanic: nil"},
		"lines that are not JSON":                      {"go: downloading\n" + passEvent, "", true, "1 passed"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out strings.Builder
			passes, err := evaluate(strings.NewReader(tc.in), &out, parseKnown(tc.known))
			is.NoErr(err)
			is.Equal(passes, tc.passes)
			is.True(strings.Contains(out.String(), tc.output))
		})
	}
}
