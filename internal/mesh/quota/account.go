package quota

import "time"

// account is what the entry of a node keeps of one customer.
type account struct {
	hash uint64
	use  counter
	// reserve is the number of tokens that may be spent until a time while the owner does not
	// answer. spent is the number spent since the last report that an owner answered.
	reserve      int
	reserveUntil time.Time
	spent        int
	// returned holds the tokens to return.
	returned []uint32
	// asking is set while a report to the owner is unanswered.
	asking bool
	usedAt time.Time
	// Counts since the account was created.
	granted, overQuota, noOwner, notRun int64
	limit                               Limit
	loggedAt                            time.Time
}

// spend takes a token from the reserve.
func (a *account) spend(now time.Time) bool {
	if a.reserve <= 0 || now.After(a.reserveUntil) {
		return false
	}
	a.reserve--
	a.spent++
	return true
}

// giveBack returns the token of a decision. A token from the reserve that has been reported is lost.
func (a *account) giveBack(d Decision) {
	switch {
	case !d.reserve && len(a.returned) < maxPendingReturn:
		a.returned = append(a.returned, d.token)
	case d.reserve && a.spent > 0:
		a.spent--
		a.reserve++
	}
}

// held returns the number of tokens in the reserve.
func (a *account) held(now time.Time) int {
	if now.After(a.reserveUntil) {
		return 0
	}
	return a.reserve
}

// restore takes back the report of an ask that no owner took note of.
func (a *account) restore(ask *Ask) {
	a.spent += ask.Request.Spent
	if len(a.returned)+len(ask.Request.Returned) <= maxPendingReturn {
		a.returned = append(a.returned, ask.Request.Returned...)
	}
}
