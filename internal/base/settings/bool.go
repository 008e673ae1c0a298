package settings

import (
	"fmt"
	"strconv"
)

// Bool declares a field that is true or false.
func Bool(dst *bool, section, key string, fallback bool, help string) Field {
	return Field{Section: section, Key: key, Default: strconv.FormatBool(fallback), Help: help, Unit: "true|false", set: func(v string) error {
		x, err := strconv.ParseBool(v)
		if err != nil {
			return fmt.Errorf("%q is neither true nor false", v)
		}
		*dst = x
		return nil
	}}
}
