package entry

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// refusal returns the answer to a call that did not run.
func refusal(status int, reason cicadaseam.Reason, retryAfter time.Duration) *cicadaseam.Answer {
	return &cicadaseam.Answer{Outcome: cicadaseam.OutcomeNotRun, Status: status, Reason: reason, RetryAfter: retryAfter}
}

// readBody reads the body of a request, or returns an answer if it is longer than the
// limit in bytes or cannot be read.
func readBody(r *http.Request, limit int) ([]byte, *cicadaseam.Answer) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > int64(limit) {
		return nil, bodyTooLarge(limit)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		return nil, refusal(http.StatusBadRequest, cicadaseam.ReasonCanceled, 0)
	}
	if len(body) > limit {
		return nil, bodyTooLarge(limit)
	}
	return body, nil
}

func bodyTooLarge(limit int) *cicadaseam.Answer {
	a := refusal(http.StatusRequestEntityTooLarge, cicadaseam.ReasonRequestTooLarge, 0)
	a.Body = []byte("the body is over the limit of " + strconv.Itoa(limit) + " bytes\n")
	return a
}

// writeAnswer writes an answer to the caller.
func writeAnswer(w http.ResponseWriter, a *cicadaseam.Answer) {
	h := w.Header()
	for _, header := range a.Headers {
		h.Add(header.Name, header.Value)
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
	w.WriteHeader(statusCode(a))
	_, _ = w.Write(body) // the caller may be gone
}

// statusCode returns the HTTP status of an answer. An answer that has none gets one
// that matches its reason and outcome.
func statusCode(a *cicadaseam.Answer) int {
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
