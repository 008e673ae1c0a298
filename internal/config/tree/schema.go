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

// Keys of the policy settings in scope objects.
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

// LargestMaxBody is the largest value of KeyMaxBody, in bytes.
const LargestMaxBody = 16 << 20

// checkFunc checks a value and returns the problem with it, or "".
type checkFunc func(value string) string

// keySpec describes a key of a kind of object.
type keySpec struct {
	check        checkFunc
	required     bool
	unit         string
	defaultValue string
}

var nameRegexp = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// policySpecs describes the keys of scope objects. The default value of a key holds where
// no scope sets it.
var policySpecs = map[string]keySpec{
	KeyDeadline:        {check: durationIn(time.Millisecond, 10*time.Minute), unit: "duration", defaultValue: "2s"},
	KeyRetries:         {check: intIn(0, 5), unit: "count", defaultValue: "2"},
	KeyRetryShare:      {check: shareIn(0, 1), unit: "share of successful calls", defaultValue: "0.1"},
	KeyQueueWait:       {check: durationIn(0, time.Minute), unit: "duration", defaultValue: "250ms"},
	KeyQueueLength:     {check: intIn(0, 100000), unit: "count", defaultValue: "200"},
	KeyMaxBody:         {check: intIn(0, LargestMaxBody), unit: "bytes", defaultValue: "1048576"},
	KeyMaxAnswer:       {check: intIn(1, 64<<20), unit: "bytes", defaultValue: "8388608"},
	KeyObjective:       {check: shareIn(0.5, 0.99999), unit: "share of calls in deadline", defaultValue: "0.99"},
	KeyObjectiveWindow: {check: durationIn(time.Minute, 90*24*time.Hour), unit: "duration", defaultValue: "720h"},
	KeyEjectShare:      {check: shareIn(0, 0.9), unit: "share of the backend servers of a service", defaultValue: "0.34"},
	KeySlowStart:       {check: durationIn(0, time.Hour), unit: "duration", defaultValue: "10s"},
	KeyQuarantine:      {check: durationIn(time.Second, time.Hour), unit: "duration", defaultValue: "60s"},
}

// objectSpecs describes the keys of objects of the other kinds.
var objectSpecs = map[string]map[string]keySpec{
	KindZone: {
		"deployment": {check: checkName, required: true},
		"region":     {check: checkName, required: true},
	},
	KindService: {
		"owner":       {check: checkName, required: true},
		"description": {check: checkText},
	},
	KindClass: {
		"priority": {check: intIn(1, 100), required: true, unit: "1 to 100, higher goes first"},
	},
	KindCustomer: {
		"credential": {check: checkSHA256Hex, required: true, unit: "SHA-256 of the bearer token in hex"},
		"class":      {check: checkName, required: true},
	},
	KindRoute: {
		"prefix":     {check: checkPathPrefix, required: true},
		"service":    {check: checkName, required: true},
		"methods":    {check: checkMethods},
		"idempotent": {check: checkIdempotence, unit: "yes, no or method"},
	},
}

// specsOf returns the keys of a kind of object, and false if there is no such kind.
func specsOf(kind string) (map[string]keySpec, bool) {
	if kind == KindScope {
		return policySpecs, true
	}
	specs, ok := objectSpecs[kind]
	return specs, ok
}

func durationIn(low, high time.Duration) checkFunc {
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

func intIn(low, high int) checkFunc {
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

func shareIn(low, high float64) checkFunc {
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

func checkName(value string) string {
	if nameRegexp.MatchString(value) {
		return ""
	}
	return fmt.Sprintf("%q is not a name of lower-case letters, digits, '.' and '-'", value)
}

func checkText(value string) string {
	const maxTextBytes = 512
	if len(value) <= maxTextBytes {
		return ""
	}
	return fmt.Sprintf("text of %d bytes is over %d", len(value), maxTextBytes)
}

func checkSHA256Hex(value string) string {
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

func checkPathPrefix(value string) string {
	if strings.HasPrefix(value, "/") && !strings.ContainsAny(value, " ?#") {
		return ""
	}
	return fmt.Sprintf("%q is not a path prefix that starts with '/'", value)
}

var knownMethods = map[string]bool{
	"GET": true, "HEAD": true, "OPTIONS": true, "POST": true,
	"PUT": true, "PATCH": true, "DELETE": true,
}

func checkMethods(value string) string {
	for _, m := range splitList(value) {
		if !knownMethods[m] {
			return fmt.Sprintf("unknown method %q", m)
		}
	}
	return ""
}

func checkIdempotence(value string) string {
	switch value {
	case "yes", "no", "method":
		return ""
	}
	return fmt.Sprintf("%q is not yes, no or method", value)
}

// splitList returns the elements of a comma-separated list.
func splitList(value string) []string {
	var elements []string
	for _, element := range strings.Split(value, ",") {
		element = strings.TrimSpace(element)
		if element != "" {
			elements = append(elements, element)
		}
	}
	return elements
}
