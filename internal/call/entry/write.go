package entry

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// refusal is the answer to a call that did not run.
func refusal(status int, reason cicadaseam.Reason, retryAfter time.Duration) *cicadaseam.Answer {
	return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeNotRun, Status: status, Reason: reason, RetryAfter: retryAfter}
}

// readBody reads a body up to the limit.
func readBody(r *http.Request, limit int) ([]byte, *cicadaseam.Answer) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > int64(limit) {
		return nil, tooLarge(limit)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		return nil, refusal(http.StatusBadRequest, cicadaseam.ReasonCanceled, 0)
	}
	if len(body) > limit {
		return nil, tooLarge(limit)
	}
	return body, nil
}

func tooLarge(limit int) *cicadaseam.Answer {
	a := refusal(http.StatusRequestEntityTooLarge, cicadaseam.ReasonRequestTooLarge, 0)
	a.Body = []byte("the body is over the limit of " + strconv.Itoa(limit) + " bytes\n")
	return a
}

// write hands an answer to the caller.
func write(w http.ResponseWriter, a *cicadaseam.Answer) {
	h := w.Header()
	for _, x := range a.Headers {
		h.Add(x.Name, x.Value)
	}
	h.Set(HeaderOutcome, a.Outcome.String())
	if a.Reason != cicadaseam.ReasonNone {
		h.Set(HeaderReason, string(a.Reason))
	}
	if a.Replayed {
		h.Set(HeaderReplayed, "true")
	}
	if a.RetryAfter > 0 {
		seconds := (a.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	body := a.Body
	if body == nil && a.Reason != cicadaseam.ReasonNone {
		body = []byte(a.Outcome.String() + ": " + string(a.Reason) + "\n")
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(statusOf(a))
	_, _ = w.Write(body) // the caller may be gone
}

// statusOf gives each answer without a status of a backend server its own.
func statusOf(a *cicadaseam.Answer) int {
	if a.Status != 0 {
		return a.Status
	}
	switch a.Reason {
	case cicadaseam.ReasonBadKey:
		return http.StatusBadRequest
	case cicadaseam.ReasonKeyConflict:
		return http.StatusUnprocessableEntity
	case cicadaseam.ReasonKeyRunning, cicadaseam.ReasonKeyLost:
		return http.StatusConflict
	case cicadaseam.ReasonKeyExpired:
		return http.StatusGone
	}
	if a.Outcome == cicadaseam.OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	if a.Reason == cicadaseam.ReasonDeadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
