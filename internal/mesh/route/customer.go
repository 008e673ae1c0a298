package route

import (
	"crypto/sha256"
	"fmt"
	"math"
	"net/http"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/cicadaseam/cicadaseam"
)

const (
	keyScheme = "bearer"
	// maxKeyBytes bounds the keys that are looked up.
	maxKeyBytes = 4 << 10
)

// addCustomers adds the customers of a revision. It returns what is wrong with them, or "".
func (t *Table) addCustomers(customers []cicadaseam.Customer) string {
	t.named = make(map[string]*cicadaseam.Customer, len(customers))
	for i := range customers {
		c := &customers[i]
		if c.Name == "" || t.named[c.Name] != nil {
			return fmt.Sprintf("customer %d has no name or that of another one: %q", i, c.Name)
		}
		t.named[c.Name] = c
		if strings.ContainsFunc(c.Name, unicode.IsControl) { // it becomes the value of a header field
			return fmt.Sprintf("customer %q has a control character in its name", c.Name)
		}
		if !isQuantity(c.Rate) || !isQuantity(c.Burst) {
			return fmt.Sprintf("customer %q has the rate %g and the burst %g", c.Name, c.Rate, c.Burst)
		}
		for _, h := range c.KeyHashes {
			if other := t.customers[h]; other != nil && other != c {
				return fmt.Sprintf("customers %q and %q have a key in common", other.Name, c.Name)
			}
			t.customers[h] = c
		}
	}
	return ""
}

// isQuantity reports whether x is finite and not negative.
func isQuantity(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// RequiresKey reports whether the callers of a route need the key of a customer.
func (t *Table) RequiresKey(r *cicadaseam.MeshRoute) bool { return t.keyed && !r.Public }

// IsKeyed reports whether callers need the key of a customer, except on public routes.
func (t *Table) IsKeyed() bool { return t.keyed }

// CustomerNamed returns the customer with a name, or nil if there is none.
func (t *Table) CustomerNamed(name string) *cicadaseam.Customer { return t.named[name] }

// Customer returns the customer whose key is in the Authorization field of a request, or nil if
// there is none. Its cost does not depend on whether the key is known.
func (t *Table) Customer(h http.Header) *cicadaseam.Customer {
	hash, ok := PresentedKey(h)
	if !ok {
		return nil
	}
	return t.customers[hash]
}

// HasKey reports whether a customer has the key with a hash.
func (t *Table) HasKey(hash cicadaseam.KeyHash) bool { return t.customers[hash] != nil }

// PresentedKey returns the hash of the key in the Authorization field of a request. It returns
// false if there is none that a customer can have.
func PresentedKey(h http.Header) (cicadaseam.KeyHash, bool) {
	fields := h.Values("Authorization")
	if len(fields) != 1 {
		return cicadaseam.KeyHash{}, false
	}
	scheme, key, ok := strings.Cut(strings.TrimSpace(fields[0]), " ")
	key = strings.TrimSpace(key)
	if !ok || !strings.EqualFold(scheme, keyScheme) || key == "" || len(key) > maxKeyBytes || !isASCII(key) {
		return cicadaseam.KeyHash{}, false
	}
	return sha256.Sum256([]byte(key)), true
}

func isASCII(s string) bool {
	for i := range len(s) {
		if s[i] >= utf8.RuneSelf {
			return false
		}
	}
	return true
}
