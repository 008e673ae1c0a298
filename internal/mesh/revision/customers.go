package revision

import (
	"reflect"

	"github.com/cicadaseam/cicadaseam"
)

// diffCustomers adds the difference between the customers of two revisions to a delta.
func (d *Delta) diffCustomers(old, next *cicadaseam.Revision) {
	before := make(map[string]*cicadaseam.Customer, len(old.Customers))
	for i := range old.Customers {
		before[old.Customers[i].Name] = &old.Customers[i]
	}
	for i := range next.Customers {
		c := &next.Customers[i]
		if was := before[c.Name]; was == nil || !reflect.DeepEqual(was, c) {
			d.ChangedCustomers = append(d.ChangedCustomers, *c)
		}
		delete(before, c.Name)
	}
	for name := range before {
		d.RemovedCustomers = append(d.RemovedCustomers, name)
	}
}

// applyCustomers returns the customers that result from a delta. The old ones are not changed.
func (d *Delta) applyCustomers(old []cicadaseam.Customer) []cicadaseam.Customer {
	replaced := make(map[string]bool, len(d.RemovedCustomers)+len(d.ChangedCustomers))
	for _, name := range d.RemovedCustomers {
		replaced[name] = true
	}
	for i := range d.ChangedCustomers {
		replaced[d.ChangedCustomers[i].Name] = true
	}
	var next []cicadaseam.Customer
	for i := range old {
		if !replaced[old[i].Name] {
			next = append(next, old[i])
		}
	}
	return append(next, d.ChangedCustomers...)
}
