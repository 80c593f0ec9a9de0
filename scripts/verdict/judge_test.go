package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	pass    = `{"Action":"pass","Package":"p","Test":"TestGood"}` + "\n"
	said    = `{"Action":"output","Package":"p","Test":"TestBad/a","Output":"seen: 2\n"}` + "\n"
	fails   = said + `{"Action":"fail","Package":"p","Test":"TestBad/a"}` + "\n" + `{"Action":"fail","Package":"p","Test":"TestBad"}` + "\n" + `{"Action":"fail","Package":"p"}` + "\n"
	parent  = `{"Action":"pass","Package":"p","Test":"TestBad/b"}` + "\n" + `{"Action":"fail","Package":"p","Test":"TestBad"}` + "\n" + `{"Action":"fail","Package":"p"}` + "\n"
	noBuild = `{"ImportPath":"q","Action":"build-output","Output":"q.go:1: undefined\n"}` + "\n" + `{"ImportPath":"q","Action":"build-fail"}` + "\n" + `{"Action":"fail","Package":"q","FailedBuild":"q"}` + "\n"
	crash   = `{"Action":"output","Package":"q","Output":"panic: nil\n"}` + "\n" + `{"Action":"fail","Package":"q"}` + "\n"
)

func TestJudge(t *testing.T) {
	for name, tc := range map[string]struct {
		in, known string
		passes    bool
		says      string
	}{
		"all pass":                 {pass, "", true, "1 passed, 0 failed"},
		"no tests at all":          {"", "", false, "0 passed, 0 failed"},
		"one fails":                {pass + fails, "", false, "FAIL p TestBad/a\nseen: 2"},
		"known red":                {pass + fails, "p TestBad/a | go test -run X | 2 not 1 | issue 9", true, "known red: p TestBad/a"},
		"known red, parent listed": {pass + fails, "p TestBad | go test | 2 not 1 | issue 9", true, "known red: p TestBad/a"},
		"another one is known":     {pass + fails, "p TestBadly | go test | 2 not 1 | issue 9", false, "FAIL p TestBad"},
		"its listed part passed":   {pass + parent, "p TestBad/b | go test | 2 not 1 | issue 9", false, "FAIL p TestBad"},
		"listed in a comment":      {pass + fails, "# p TestBad | go test | 2 | issue 9", false, "FAIL p TestBad"},
		"build failure":            {pass + noBuild, "q TestX | go test | - | issue 9", false, "FAIL q\nq.go:1: undefined"},
		"package without a test":   {pass + crash, "q TestX | go test | - | issue 9", false, "FAIL q\npanic: nil"},
		"lines that are not JSON":  {"go: downloading\n" + pass, "", true, "1 passed"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out strings.Builder
			passes, err := judge(strings.NewReader(tc.in), &out, parseKnown(tc.known))
			is.NoErr(err)
			is.Equal(passes, tc.passes)
			is.True(strings.Contains(out.String(), tc.says))
		})
	}
}
