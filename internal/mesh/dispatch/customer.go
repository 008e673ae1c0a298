package dispatch

import (
	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/internal/mesh/route"
)

// authenticate returns the customer of a request, or nil if the request needs none. It returns
// false if the request lacks a valid key. Calls that a backend server makes for a request that it
// is running need no key: that request had one.
func authenticate(table *route.Table, rt *cicadaseam.MeshRoute, r *Request, outer outerRun) (*cicadaseam.Customer, bool) {
	if outer.running || !table.RequiresKey(rt) {
		return nil, true
	}
	customer := table.Customer(r.Header)
	return customer, customer != nil
}

// mayBeNested reports whether a request without a key may be a call for a run that a previous
// process of this node started, which this process does not know.
func (d *Dispatcher) mayBeNested(r *Request) bool {
	return len(r.Header.Values("Authorization")) == 0 && outerID(r.Header.Get(d.Headers.RequestID)) != ""
}

// setCustomer makes a customer that of a request.
func (d *Dispatcher) setCustomer(ex *exchange, customer *cicadaseam.Customer) {
	ex.call.Customer = customer.Name
	if customer.Priority != nil {
		ex.call.Priority = *customer.Priority
	}
	ex.call.Headers = append(ex.call.Headers, cicadaseam.Header{Name: d.Headers.Customer, Value: customer.Name})
}
