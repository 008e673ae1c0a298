package ideal

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Read reads a load from an INI file:
//
//	[load]
//	length = 30s
//	[service.records]
//	slots = 192
//	[kind.filing]
//	service = desk
//	rate = 474
//	hold = 205ms
//	objective = 600ms
//	priority = 1
//	calls = records:42ms
//	[change.burst]
//	at = 6.8s
//	factor = 1.5
//	slots = records:150, desk:90
func Read(file string) (*Load, error) {
	f, err := ini.Load(file)
	if err != nil {
		return nil, errors.Wrapf(err, "read load %s", file)
	}
	load := &Load{Slots: map[string]float64{}}
	r := &reader{file: file}
	for _, s := range f.Sections() {
		kind, name, _ := strings.Cut(s.Name(), ".")
		switch kind {
		case "load":
			load.Length = r.duration(s, "length")
		case "service":
			load.Slots[name] = r.number(s, "slots")
		case "kind":
			load.Kinds = append(load.Kinds, Kind{Name: name, Service: s.Key("service").String(), Rate: r.number(s, "rate"), Hold: r.duration(s, "hold"),
				Objective: r.duration(s, "objective"), Priority: int(r.number(s, "priority")), Calls: r.durations(s, "calls")})
		case "change":
			load.Changes = append(load.Changes, Change{At: r.duration(s, "at"), Factor: s.Key("factor").MustFloat64(0), Slots: r.numbers(s, "slots")})
		case strings.ToLower(ini.DefaultSection), ini.DefaultSection:
		default:
			r.fail(s, "-", errors.New("unknown section"))
		}
	}
	if r.err == nil {
		r.err = load.validate(file)
	}
	slices.SortStableFunc(load.Changes, func(a, b Change) int { return int(a.At - b.At) })
	return load, r.err
}

// validate returns an error for a load that cannot be played.
func (l *Load) validate(file string) error {
	if l.Length <= 0 || len(l.Kinds) == 0 {
		return errors.Newf("%s: a load needs a length and a kind", file)
	}
	for i := range l.Kinds {
		k := &l.Kinds[i]
		services := []string{k.Service}
		for service := range k.Calls {
			services = append(services, service)
		}
		for _, service := range services {
			if l.Slots[service] <= 0 {
				return errors.Newf("%s: [kind.%s] service %q has no slots", file, k.Name, service)
			}
		}
		if k.Hold <= 0 || k.Priority < 0 {
			return errors.Newf("%s: [kind.%s] hold must be above 0 and priority not below", file, k.Name)
		}
	}
	return nil
}

// reader parses values and keeps the first error.
type reader struct {
	file string
	err  error
}

func (r *reader) fail(s *ini.Section, key string, err error) {
	if err != nil && r.err == nil {
		r.err = errors.Wrapf(err, "%s: [%s] %s", r.file, s.Name(), key)
	}
}

func (r *reader) number(s *ini.Section, key string) float64 {
	x, err := s.Key(key).Float64()
	r.fail(s, key, err)
	return x
}

func (r *reader) duration(s *ini.Section, key string) time.Duration {
	d, err := time.ParseDuration(s.Key(key).String())
	r.fail(s, key, err)
	return d
}

// pairs returns the values of a list such as "records:42ms, desk:30ms" by name.
func (r *reader) pairs(s *ini.Section, key string) map[string]string {
	out := map[string]string{}
	for _, part := range s.Key(key).Strings(",") {
		name, value, found := strings.Cut(part, ":")
		if !found {
			r.fail(s, key, errors.Newf("%q is no pair such as name:value", part))
		}
		out[name] = value
	}
	return out
}

func (r *reader) durations(s *ini.Section, key string) map[string]time.Duration {
	out := map[string]time.Duration{}
	for name, value := range r.pairs(s, key) {
		d, err := time.ParseDuration(value)
		r.fail(s, key, err)
		out[name] = d
	}
	return out
}

func (r *reader) numbers(s *ini.Section, key string) map[string]float64 {
	out := map[string]float64{}
	for name, value := range r.pairs(s, key) {
		x, err := strconv.ParseFloat(value, 64)
		r.fail(s, key, err)
		out[name] = x
	}
	return out
}
