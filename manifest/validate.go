package manifest

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// maxTimeout bounds time limits, because a graceful shutdown may last as long as the longest one.
	maxTimeout = 24 * clock.Hour
	// maxWeight keeps sums and products of weights and token costs within 64 bits.
	maxWeight = 1_000_000
	// maxTokens keeps sums of token counts within 64 bits.
	maxTokens = 1_000_000_000_000
	maxCount  = 1_000_000
)

var (
	// namePattern excludes "/" and ":" because names occur in table keys, in paths and before the adapter name.
	namePattern    = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	keyHashPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
	methods        = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

// Validate checks the values of a manifest; the error is an *InvalidError that lists every problem.
func (m *Manifest) Validate() error {
	v := &validator{manifest: m, keys: map[string]string{}}
	v.general()
	v.models()
	v.services()
	v.customers()
	return v.err()
}

// validator collects the problems of one manifest.
type validator struct {
	problems
	manifest *Manifest
	// keys maps each key hash to the path at which it occurred first.
	keys map[string]string
}

func (v *validator) general() {
	m := v.manifest
	v.name("service", m.Service)
	if m.FinalDate == "" {
		v.add("final-date", "name the last day of service, for example 2027-06-30-04:00", "the final date is missing")
	} else if _, err := m.FinalDate.End(); err != nil {
		v.add("final-date", "write YYYY-MM-DD with an optional offset from UTC such as -04:00", "%v", err)
	}
	within(v, "limits.default-timeout-ms", m.Limits.DefaultTimeout, 1, maxTimeout)
	within(v, "limits.max-timeout-ms", m.Limits.MaxTimeout, 1, maxTimeout)
	if m.Limits.DefaultTimeout > m.Limits.MaxTimeout {
		v.add("limits.default-timeout-ms", "lower it or raise limits.max-timeout-ms",
			"the default time limit %d exceeds the longest one, %d", m.Limits.DefaultTimeout, m.Limits.MaxTimeout)
	}
	within(v, "limits.max-prompt-tokens", m.Limits.MaxPromptTokens, 1, maxTokens)
	within(v, "engines.memory-tokens", m.Engines.MemoryTokens, 1, maxTokens)
	within(v, "engines.prefill-tokens-per-second", m.Engines.PrefillTokensPerSecond, 1, maxTokens)
	within(v, "engines.max-concurrent-loads", m.Engines.MaxConcurrentLoads, 1, maxCount)
}

func (v *validator) models() {
	m := v.manifest
	if len(m.Models) == 0 {
		v.add("models", "list the models that the deployment serves", "there is no model")
	}
	var longest poplarwinch.Tokens
	seen := map[string]bool{}
	for i, model := range m.Models {
		path := fmt.Sprintf("models[%d]", i)
		v.unique(seen, path+".name", string(model.Name))
		v.name(path+".version", model.Version)
		within(v, path+".context-tokens", model.ContextTokens, 1, maxTokens)
		longest = max(longest, model.ContextTokens)
		if !(model.BytesPerToken >= 0.1 && model.BytesPerToken <= 1000) {
			v.add(path+".bytes-per-token", "write the measured mean, usually between 2 and 6",
				"%v is not between 0.1 and 1000", model.BytesPerToken)
		}
		within(v, path+".min-engines", model.MinEngines, 0, maxCount)
		adapters := map[string]bool{}
		for j, adapter := range model.Adapters {
			below := fmt.Sprintf("%s.adapters[%d]", path, j)
			v.unique(adapters, below+".name", string(adapter.Name))
			v.name(below+".version", adapter.Version)
		}
	}
	if len(m.Models) > 0 && m.Limits.MaxPromptTokens > longest {
		v.add("limits.max-prompt-tokens", "lower it to the longest context of a model",
			"%d exceeds the longest context, %d", m.Limits.MaxPromptTokens, longest)
	}
}

func (v *validator) services() {
	seen := map[string]bool{}
	for i, s := range v.manifest.Services {
		path := fmt.Sprintf("services[%d]", i)
		v.unique(seen, path+".name", string(s.Name))
		within(v, path+".timeout-ms", s.Timeout, 1, maxTimeout)
		if limit := v.manifest.Limits.MaxTimeout; s.Timeout > limit {
			v.add(path+".timeout-ms", "lower it or raise limits.max-timeout-ms",
				"%d exceeds the longest time limit, %d", s.Timeout, limit)
		}
		routes := map[Route]bool{}
		for j, r := range s.NonRepeatable {
			below := fmt.Sprintf("%s.non-repeatable[%d]", path, j)
			v.route(below, r)
			if routes[r] {
				v.add(below, "keep one of the occurrences", "the route %s %s is listed twice", r.Method, r.Path)
			}
			routes[r] = true
		}
	}
}

func (v *validator) route(path string, r Route) {
	if !slices.Contains(methods, r.Method) {
		v.add(path+".method", "use one of "+strings.Join(methods, ", "), "%q is not an accepted method", r.Method)
	}
	base := strings.TrimSuffix(r.Path, "/*")
	if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(base, "*?#% ") || (base != "" && cleaned(base) != base) {
		v.add(path+".path", "write an absolute path without query, wildcards or escapes; it may end in /*",
			"%q is not an accepted path", r.Path)
	}
}

func (v *validator) customers() {
	m := v.manifest
	if len(m.Customers) == 0 {
		v.add("customers", "list the customers of the deployment", "there is no customer")
	}
	models, services := map[string]bool{}, map[string]bool{}
	for _, model := range m.Models {
		models[string(model.Name)] = true
	}
	for _, s := range m.Services {
		services[string(s.Name)] = true
	}
	seen := map[string]bool{}
	for i := range m.Customers {
		v.customer(fmt.Sprintf("customers[%d]", i), &m.Customers[i], seen, models, services)
	}
}

func (v *validator) customer(path string, c *Customer, seen, models, services map[string]bool) {
	v.unique(seen, path+".id", string(c.ID))
	within(v, path+".weight", c.Weight, 1, maxWeight)
	within(v, path+".max-requests-in-flight", c.MaxRequestsInFlight, 1, maxCount)
	within(v, path+".max-tokens-in-flight", c.MaxTokensInFlight, 1, maxTokens)
	if len(c.KeyHashes) == 0 {
		v.add(path+".key-hashes", "add the hash of at least one key", "the customer has no key")
	}
	for j, hash := range c.KeyHashes {
		below := fmt.Sprintf("%s.key-hashes[%d]", path, j)
		if !keyHashPattern.MatchString(hash) {
			// The value is left out: it may be the key itself, written here by mistake.
			v.add(below, `write "sha256:" and the 64 lowercase hex digits of the key's SHA-256 hash`, "malformed key hash")
		} else if first, ok := v.keys[hash]; ok {
			v.add(below, "give each customer keys of its own", "the key hash occurs already at %s", first)
		} else {
			v.keys[hash] = below
		}
	}
	if len(c.Models)+len(c.Services) == 0 {
		v.add(path, "list at least one model or service, or remove the customer", "the customer may use nothing")
	}
	references(v, path+".models", "model", c.Models, models)
	references(v, path+".services", "service", c.Services, services)
}

// references checks that a customer's list names existing models or services, each once.
func references[N ~string](v *validator, path, noun string, list []N, known map[string]bool) {
	seen := map[string]bool{}
	for i, name := range list {
		below := fmt.Sprintf("%s[%d]", path, i)
		if !known[string(name)] {
			v.add(below, "define the "+noun+" or remove the name", "unknown %s %q", noun, string(name))
		} else if seen[string(name)] {
			v.add(below, "keep one of the occurrences", "%s %q is listed twice", noun, string(name))
		}
		seen[string(name)] = true
	}
}

func (v *validator) name(path, name string) {
	if !namePattern.MatchString(name) {
		v.add(path, "use 1 to 64 letters, digits, dots, dashes and underscores, starting with a letter or digit",
			"%q is not an accepted name", name)
	}
}

func (v *validator) unique(seen map[string]bool, path, name string) {
	v.name(path, name)
	if seen[name] {
		v.add(path, "rename or remove one of them", "the name %q occurs more than once", name)
	}
	seen[name] = true
}

func within[N ~int | ~int64](v *validator, path string, n, low, high N) {
	if n < low || n > high {
		v.add(path, fmt.Sprintf("write a value from %d to %d", low, high), "%d is out of range", n)
	}
}
