package strict_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/strict"
)

// inner and outer have a field of each type that Decode treats differently.
type inner struct {
	Listen string `json:"listen"`
	Count  int    `json:"count"`
}

type outer struct {
	Name string          `json:"name"`
	In   inner           `json:"in"`
	List []inner         `json:"list"`
	Opt  *inner          `json:"opt"`
	Data []byte          `json:"data"`
	Raw  json.RawMessage `json:"raw"`
}

func TestDecodeReportsEveryFaultWithItsPath(t *testing.T) {
	for name, tc := range map[string]struct{ in, want string }{
		"valid":                {`{"name":"a","in":{"listen":"x","count":2},"list":[{"count":1}],"opt":{"count":3},"data":"YQ==","raw":null}`, ""},
		"null list":            {`{"list":null,"opt":null}`, ""},
		"nested":               {`{"in":{"lissten":"x"},"list":[{},{"c":1}]}`, "in.lissten: unknown field; list[1].c: unknown field"},
		"other case":           {`{"Name":"a"}`, "Name: unknown field"},
		"repeated field":       {`{"name":"a","name":"b"}`, "name: given twice"},
		"wrong types":          {`{"name":7,"in":[],"list":{},"opt":{"count":1.5}}`, "name: want a string; in: want an object; list: want a list; opt.count: want a whole number"},
		"null":                 {`{"name":null,"in":null}`, "name: want a string, not null; in: want an object"},
		"not JSON":             {`{"name":`, "not JSON: unexpected end of JSON input"},
		"not UTF-8":            {"{\"name\":\"\xff\"}", "not JSON: not in UTF-8"},
		"two values":           {`{} {}`, "not JSON: invalid character '{' after top-level value"},
		"not an object":        {`[1]`, "want an object"},
		"line break in a name": {`{"a\nb":1}`, `"a\nb": unknown field`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var v outer
			is.Equal(strict.Decode([]byte(tc.in), &v).Error(), tc.want)
		})
	}
}

// FuzzDecode checks that Decode either reports errors or decodes the same value
// as encoding/json.
func FuzzDecode(f *testing.F) {
	for _, s := range []string{`{}`, `{"name":"a","list":[{"count":1}]}`, `{"opt":{"listen":"\u00e9"}}`, `[`, `{"in":{"count":1e3}}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var got, want outer
		if len(strict.Decode(data, &got)) > 0 {
			return
		}
		is := is.New(t)
		is.NoErr(json.Unmarshal(data, &want))
		is.Equal(got, want)
	})
}
