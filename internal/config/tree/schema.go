package tree

import (
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Policy keys of scope objects.
const (
	KeyDeadline        = "deadline"
	KeyRetries         = "retries"
	KeyRetryShare      = "retry-share"
	KeyQueueWait       = "queue-wait"
	KeyQueueLength     = "queue-length"
	KeyMaxBody         = "max-body"
	KeyMaxAnswer       = "max-answer"
	KeyObjective       = "objective"
	KeyObjectiveWindow = "objective-window"
	KeyEjectShare      = "eject-share"
	KeySlowStart       = "slow-start"
	KeyQuarantine      = "quarantine"
)

// parser checks one value and says what is wrong with it, or "".
type parser func(value string) string

// keySpec describes one key of one kind of object.
type keySpec struct {
	parse    parser
	required bool
	unit     string
	fallback string
}

var nameShape = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// policySpecs are the keys of scope objects, with the defaults that hold when
// no scope sets them.
var policySpecs = map[string]keySpec{
	KeyDeadline:        {parse: durationIn(time.Millisecond, 10*time.Minute), unit: "duration", fallback: "2s"},
	KeyRetries:         {parse: intIn(0, 5), unit: "count", fallback: "2"},
	KeyRetryShare:      {parse: shareIn(0, 1), unit: "share of successful calls", fallback: "0.1"},
	KeyQueueWait:       {parse: durationIn(0, time.Minute), unit: "duration", fallback: "250ms"},
	KeyQueueLength:     {parse: intIn(0, 100000), unit: "count", fallback: "200"},
	KeyMaxBody:         {parse: intIn(0, 16<<20), unit: "bytes", fallback: "1048576"},
	KeyMaxAnswer:       {parse: intIn(1, 64<<20), unit: "bytes", fallback: "8388608"},
	KeyObjective:       {parse: shareIn(0.5, 0.99999), unit: "share of calls in deadline", fallback: "0.99"},
	KeyObjectiveWindow: {parse: durationIn(time.Minute, 90*24*time.Hour), unit: "duration", fallback: "720h"},
	KeyEjectShare:      {parse: shareIn(0, 0.9), unit: "share of the backend servers of a service", fallback: "0.34"},
	KeySlowStart:       {parse: durationIn(0, time.Hour), unit: "duration", fallback: "10s"},
	KeyQuarantine:      {parse: durationIn(time.Second, time.Hour), unit: "duration", fallback: "60s"},
}

// objectSpecs are the keys of the other kinds.
var objectSpecs = map[string]map[string]keySpec{
	KindZone: {
		"deployment": {parse: name, required: true},
		"region":     {parse: name, required: true},
	},
	KindService: {
		"owner":       {parse: name, required: true},
		"description": {parse: text},
	},
	KindClass: {
		"priority": {parse: intIn(1, 100), required: true, unit: "1 to 100, higher goes first"},
	},
	KindCustomer: {
		"credential": {parse: sha256Hex, required: true, unit: "SHA-256 of the bearer token in hex"},
		"class":      {parse: name, required: true},
	},
	KindRoute: {
		"prefix":     {parse: pathPrefix, required: true},
		"service":    {parse: name, required: true},
		"methods":    {parse: methods},
		"idempotent": {parse: idempotence, unit: "yes, no or method"},
	},
}

func specsOf(kind string) (map[string]keySpec, bool) {
	if kind == KindScope {
		return policySpecs, true
	}
	specs, ok := objectSpecs[kind]
	return specs, ok
}

func durationIn(low, high time.Duration) parser {
	return func(value string) string {
		d, err := time.ParseDuration(value)
		if err != nil {
			return fmt.Sprintf("%q is not a duration such as 250ms", value)
		}
		if d < low || d > high {
			return fmt.Sprintf("%s is outside %s to %s", value, low, high)
		}
		return ""
	}
}

func intIn(low, high int) parser {
	return func(value string) string {
		n, err := strconv.Atoi(value)
		if err != nil {
			return fmt.Sprintf("%q is not a whole number", value)
		}
		if n < low || n > high {
			return fmt.Sprintf("%d is outside %d to %d", n, low, high)
		}
		return ""
	}
}

func shareIn(low, high float64) parser {
	return func(value string) string {
		f, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(f) {
			return fmt.Sprintf("%q is not a number", value)
		}
		if f < low || f > high {
			return fmt.Sprintf("%s is outside %g to %g", value, low, high)
		}
		return ""
	}
}

func name(value string) string {
	if nameShape.MatchString(value) {
		return ""
	}
	return fmt.Sprintf("%q is not a name of lower-case letters, digits, '.' and '-'", value)
}

func text(value string) string {
	const maxText = 512 // bytes
	if len(value) <= maxText {
		return ""
	}
	return fmt.Sprintf("text of %d bytes is over %d", len(value), maxText)
}

func sha256Hex(value string) string {
	const sumBytes = 32
	raw, err := hex.DecodeString(value)
	if err != nil || len(raw) != sumBytes {
		return "is not a SHA-256 sum of 64 hex digits"
	}
	if value != strings.ToLower(value) {
		return "has upper-case hex digits"
	}
	return ""
}

func pathPrefix(value string) string {
	if strings.HasPrefix(value, "/") && !strings.ContainsAny(value, " ?#") {
		return ""
	}
	return fmt.Sprintf("%q is not a path prefix that starts with '/'", value)
}

var knownMethods = map[string]bool{
	"GET": true, "HEAD": true, "OPTIONS": true, "POST": true,
	"PUT": true, "PATCH": true, "DELETE": true,
}

func methods(value string) string {
	for _, m := range splitList(value) {
		if !knownMethods[m] {
			return fmt.Sprintf("unknown method %q", m)
		}
	}
	return ""
}

func idempotence(value string) string {
	switch value {
	case "yes", "no", "method":
		return ""
	}
	return fmt.Sprintf("%q is not yes, no or method", value)
}

func splitList(value string) []string {
	var out []string
	for _, part := range strings.Split(value, ",") {
		part = strings.TrimSpace(part)
		if part != "" {
			out = append(out, part)
		}
	}
	return out
}
