// Package accounts authenticates callers: it maps API keys to client accounts.
//
// Keys are kept as digests only, so that neither a dump of the process nor an object that
// it passes on reveals one.
package accounts

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"unicode"

	"github.com/rotisserie/eris"
)

// Digest is the SHA-256 digest of an API key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// emptyKey is the digest of the empty key, which is not valid.
var emptyKey = DigestOf("")

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses the result of Digest.String.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	if len(text) != hex.EncodedLen(len(d)) {
		return d, eris.Errorf("digest of a key has %d characters, want %d", len(text), hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], []byte(text)); err != nil {
		return Digest{}, eris.New("digest of a key is not hexadecimal")
	}
	return d, nil
}

// Account is a client account.
type Account struct {
	Name string
	// Priority is valid if HasPriority is set. It then takes precedence over the priority
	// of the route; 0 is the most urgent.
	Priority    int
	HasPriority bool
	// Keys are the digests of the account's keys.
	Keys []Digest
}

// Table finds the account of a key. It is immutable. A nil Table means that callers need
// no key.
type Table struct{ byKey map[Digest]*Account }

// New returns a Table. It returns an error, which contains no key, if an account has no
// valid name, two accounts have the same name or the same key, or a key is empty.
func New(list []Account) (*Table, error) {
	t := &Table{byKey: make(map[Digest]*Account)}
	names := make(map[string]bool, len(list))
	for i := range list {
		a := &list[i]
		if !ValidName(a.Name) {
			return nil, eris.Errorf("client account %d has no name that a header can carry: %q", i, a.Name)
		}
		if names[a.Name] {
			return nil, eris.Errorf("client account %q is defined twice", a.Name)
		}
		names[a.Name] = true
		if err := t.addKeys(a); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// ValidName reports whether a name is not empty and arrives unchanged in a header.
func ValidName(name string) bool {
	return name != "" && strings.TrimSpace(name) == name && !strings.ContainsFunc(name, unicode.IsControl)
}

// addKeys adds the keys of an account. A key may be repeated within the account.
func (t *Table) addKeys(a *Account) error {
	for _, key := range a.Keys {
		if key == emptyKey {
			return eris.Errorf("client account %q has an empty key", a.Name)
		}
		if other, ok := t.byKey[key]; ok && other != a {
			return eris.Errorf("client accounts %q and %q have the same key", other.Name, a.Name)
		}
		t.byKey[key] = a
	}
	return nil
}

// Lookup returns the account that holds the key with the given digest.
func (t *Table) Lookup(key Digest) (Account, bool) {
	a, ok := t.byKey[key]
	if !ok {
		return Account{}, false
	}
	return *a, true
}

// Len returns the number of keys.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return len(t.byKey)
}

// Names returns the names of the accounts that have keys, in no order.
func (t *Table) Names() []string {
	if t == nil {
		return nil
	}
	names := make(map[string]bool)
	for _, a := range t.byKey {
		names[a.Name] = true
	}
	return slices.Collect(maps.Keys(names))
}
