package access_test

import (
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/access"
	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// account returns an account with the given keys.
func account(name string, keys ...string) core.Account {
	a := core.Account{Name: name}
	for _, k := range keys {
		a.Keys = append(a.Keys, access.Digest(k))
	}
	return a
}

// TestAuthenticate guards against keys that are found under another workspace, and
// against unknown, shortened and empty keys that are accepted.
func TestAuthenticate(t *testing.T) {
	is := is.New(t)
	table, err := access.NewTable([]core.Account{account("a", "key-1", "key-2"), account("b", "key-3")})
	is.NoErr(err)
	is.True(table.Required())
	for key, want := range map[string]string{"key-1": "a", "key-2": "a", "key-3": "b"} {
		a, err := table.Authenticate(key)
		is.NoErr(err)
		is.Equal(a.Name, want)
	}
	for _, key := range []string{"", "key-", "key-33", access.Digest("key-1")} {
		_, err := table.Authenticate(key)
		is.True(codes.Has(err, codes.Unauthorized))
	}
	for name, want := range map[string]bool{"a": true, "b": true, "c": false, "": false} {
		a, ok := table.Account(name)
		is.Equal(ok, want)
		is.True(!ok || a.Name == name)
	}
	var none *access.Table
	is.True(!none.Required())
	_, ok := none.Account("a")
	is.True(!ok)
	_, err = none.Authenticate("key-1")
	is.True(codes.Has(err, codes.Unauthorized))
}

// TestNewTableRejects guards against accounts whose keys are ambiguous.
func TestNewTableRejects(t *testing.T) {
	for name, accounts := range map[string][]core.Account{
		"a shared key": {account("a", "k"), account("b", "k")},
		"an empty key": {account("a", "")},
		"no name":      {account("", "k")},
		"a name twice": {account("a", "k"), account("a", "l")},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := access.NewTable(accounts)
			is.New(t).True(codes.Has(err, codes.BadDocument))
		})
	}
}
