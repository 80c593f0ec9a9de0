package access

import (
	"crypto/sha256"
	"encoding/hex"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
)

// Digest returns the stored form of keys and tokens: the SHA-256 digest in hexadecimal.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// emptyDigest is the digest of an empty key.
var emptyDigest = Digest("")

// Table maps keys to accounts. It is immutable. A nil table has no accounts.
type Table struct {
	accounts []core.Account
	// byName holds the index in accounts of each name, and byDigest that of each key's
	// digest.
	byName, byDigest map[string]int
}

// NewTable returns a table of the accounts. It returns [codes.BadDocument] if an account
// has no name or an empty key, or if two accounts share a name or a key.
func NewTable(accounts []core.Account) (*Table, error) {
	t := &Table{accounts: accounts, byName: make(map[string]int, len(accounts)), byDigest: make(map[string]int)}
	for i, a := range accounts {
		if _, ok := t.byName[a.Name]; ok || a.Name == "" {
			return nil, codes.New(codes.BadDocument, "workspace %q: the name is empty or used twice", a.Name)
		}
		t.byName[a.Name] = i
		for _, digest := range a.Keys {
			if digest == emptyDigest {
				return nil, codes.New(codes.BadDocument, "workspace %q: empty key", a.Name)
			}
			if other, ok := t.byDigest[digest]; ok && other != i {
				return nil, codes.New(codes.BadDocument, "workspaces %q and %q share a key", accounts[other].Name, a.Name)
			}
			t.byDigest[digest] = i
		}
	}
	return t, nil
}

// Required reports whether requests need a key, which they do if there are accounts.
func (t *Table) Required() bool { return t != nil && len(t.accounts) > 0 }

// Account returns the account of that name.
func (t *Table) Account(name string) (core.Account, bool) {
	if t == nil {
		return core.Account{}, false
	}
	i, ok := t.byName[name]
	if !ok {
		return core.Account{}, false
	}
	return t.accounts[i], true
}

// Authenticate returns the account of a key. The error is [codes.Unauthorized].
func (t *Table) Authenticate(key string) (core.Account, error) {
	if key == "" {
		return core.Account{}, codes.New(codes.Unauthorized, "no API key")
	}
	if t != nil {
		if i, ok := t.byDigest[Digest(key)]; ok {
			return t.accounts[i], nil
		}
	}
	return core.Account{}, codes.New(codes.Unauthorized, "unknown API key")
}
