package route

import (
	"crypto/sha256"
	"math"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadaseam/cicadaseam"
)

func keyedRevision(customers ...cicadaseam.Customer) *cicadaseam.Revision {
	return &cicadaseam.Revision{
		RevisionID: cicadaseam.RevisionID{Number: 3},
		Routes: []cicadaseam.MeshRoute{
			{Name: "private", Host: "a.example", PathPrefix: "/x/", Timeout: 1, TrafficSplit: []cicadaseam.WeightedService{{Service: "s", Weight: 1}}},
			{Name: "public", Host: "a.example", PathPrefix: "/p/", Public: true, Timeout: 1, TrafficSplit: []cicadaseam.WeightedService{{Service: "s", Weight: 1}}},
		},
		Customers: customers,
	}
}

func customerWithKeys(name string, keys ...string) cicadaseam.Customer {
	c := cicadaseam.Customer{Name: name}
	for _, k := range keys {
		c.KeyHashes = append(c.KeyHashes, sha256.Sum256([]byte(k)))
	}
	return c
}

// Guards against requests that run for the wrong customer, and against keys that are taken from
// anything but one well-formed field.
func TestCustomerIsFoundByOneBearerKey(t *testing.T) {
	table, err := New(keyedRevision(customerWithKeys("c1", "k1", "k2", "\xc3\xa9"), customerWithKeys("c2", "k3")))
	require.NoError(t, err)
	for _, test := range []struct {
		fields []string
		want   string
	}{
		{[]string{"Bearer k1"}, "c1"},
		{[]string{"bearer k2"}, "c1"},
		{[]string{"Bearer  k3 "}, "c2"},
		{nil, ""},
		{[]string{""}, ""},
		{[]string{"Bearer"}, ""},
		{[]string{"Bearer "}, ""},
		{[]string{"Basic k1"}, ""},
		{[]string{"k1"}, ""},
		{[]string{"Bearer k4"}, ""},
		{[]string{"Bearer k1 k3"}, ""},
		{[]string{"Bearer k1", "Bearer k1"}, ""},
		{[]string{"Bearer k1, Bearer k3"}, ""},
		{[]string{"Bearer \xff\xfe"}, ""},
		{[]string{"Bearer \xc3\xa9"}, ""},
		{[]string{"Bearer " + strings.Repeat("k", 8<<10)}, ""},
	} {
		got := table.Customer(http.Header{"Authorization": test.fields})
		if test.want == "" {
			require.Nil(t, got, "%q", test.fields)
			continue
		}
		require.NotNil(t, got, "%q", test.fields)
		require.Equal(t, test.want, got.Name)
	}
}

// Guards against callers of a deployment without customers being asked for a key.
func TestKeysAreRequiredWhereThereAreCustomers(t *testing.T) {
	table, err := New(keyedRevision(customerWithKeys("c1", "k1")))
	require.NoError(t, err)
	require.True(t, table.RequiresKey(table.Find("a.example", "/x/1")))
	require.False(t, table.RequiresKey(table.Find("a.example", "/p/1")))
	table, err = New(keyedRevision())
	require.NoError(t, err)
	require.False(t, table.RequiresKey(table.Find("a.example", "/x/1")))
}

// Guards against routes that are open to all since the last customer has left.
func TestKeysAreRequiredWhereNoCustomerIsLeft(t *testing.T) {
	r := keyedRevision()
	r.Keyed = true
	table, err := New(r)
	require.NoError(t, err)
	require.True(t, table.IsKeyed())
	require.True(t, table.RequiresKey(table.Find("a.example", "/x/1")))
	require.False(t, table.RequiresKey(table.Find("a.example", "/p/1")))
}

// Guards against a version that is applied although its customers contradict each other.
func TestInvalidCustomersRefuseTheRevision(t *testing.T) {
	for name, customers := range map[string][]cicadaseam.Customer{
		"key in common": {customerWithKeys("c1", "k1"), customerWithKeys("c2", "k1")},
		"same name":     {customerWithKeys("c1", "k1"), customerWithKeys("c1", "k2")},
		"no name":       {customerWithKeys("", "k1")},
		"line break":    {customerWithKeys("c1\r\nX-Forged: 1", "k1")},
		"negative rate": {{Name: "c1", Rate: -1}},
		"no number":     {{Name: "c1", Burst: math.NaN()}},
		"no bound":      {{Name: "c1", Rate: math.Inf(1)}},
	} {
		_, err := New(keyedRevision(customers...))
		var invalid *InvalidRevisionError
		require.ErrorAs(t, err, &invalid, name)
	}
}
